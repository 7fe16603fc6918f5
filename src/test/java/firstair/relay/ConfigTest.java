package firstair.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import firstair.control.Controller.Effect;
import firstair.control.Controller.Kind;
import firstair.control.Controller.LateCurve;
import firstair.control.Controller.MessageClass;
import firstair.control.Controller.Rules;
import firstair.control.Controller.Scope;
import firstair.control.Controller.Settings;
import firstair.control.Controller.Weight;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Deployments differ in all that they tell: each field is read, and what is not told imposes nothing. */
class ConfigTest {
    private static final String CLASS = "{'name':'a'}";

    private static Config config(String rest, String settings) {
        return Config.parse(
                ("{'listen':'127.0.0.1:0','discovery':'127.0.0.1:1'" + rest + ",'settings':" + settings + "}")
                        .replace('\'', '"'),
                Map.of("ROUTER_STATE", "state"));
    }

    private static Settings read(String settings) {
        return config("", settings).settings();
    }

    private static Settings withClass(String type) {
        return read("{'classes':[" + CLASS + "," + type + "]}");
    }

    @Test
    void everyFieldOfASiteIsRead() {
        Config c = config(
                ",'limits':{'cores':0.5,'memory_mb':96,'sockets':300,'disk_mb':2}",
                """
                {'groupSize':7,'slotNo':3,'az':1,'azs':['ward','lab, old','annexe'],'discovery':'ask','quantum':8.0,
                'weightKind':'rough','shapes':['practice','insurer'],'accounts':[{'name':'t','quotaPerS':3.5,
                'share':0.5}],'loadReport':{'how':'answers','names':['x1','active','x0']},'worthBy':'request',
                'classes':[{'name':'alert','semantics':'retryable','group':'all','aim':600.0,'deadline':3000.0,
                'importance':4.0,'lateValue':0.1,'streaming':false,'repeatWindow':3000.0,'aimStretch':1.5},
                {'name':'result','semantics':'dedup','group':'zone','aim':1500.0,'deadline':6000.0,'importance':1.0,
                'lateValue':0.6,'streaming':false,'repeatWindow':1000.0},
                {'name':'bill','semantics':'fragile','group':'all','sequential':true,'aim':10.0,'deadline':20.0}],
                'familyInfo':{'bundleMax':[8,1],'kindApart':[false,true],'late':'halving','maxCalls':5,
                'zoneFee':[0.0,0.02,0.05]},'limits':{'cancelling':true,'connIdle':6000.0,'connectTimeout':1200.0,
                'maxAttempts':4,'maxOpen':31,'maxRetryAfter':1500.0,'retryAfter':true,'mayDuplicate':true,
                'probes':false,'peers':false,'multiplex':8,'cpuUsPerS':250000,'cpuUsPerRequest':0.0},
                'safety':{'answerSlack':20.0,'askEvery':9000.0,'drainGrace':400.0,'fallMultiple':3.0,
                'overloadFor':2500.0,'startCapacity':0.2,'warmAfter':8000.0,'settleAfterDoubt':30.0}}""");
        Settings s = c.settings();
        assertThat(s.group()).isEqualTo(7);
        assertThat(s.index()).isEqualTo(3);
        assertThat(s.zone()).isEqualTo(1);
        assertThat(s.askForList()).isTrue();
        assertThat(s.weight()).isEqualTo(Weight.ESTIMATED);
        assertThat(s.limitsTold()).isTrue();
        assertThat(s.late()).isEqualTo(LateCurve.HALVING);
        assertThat(s.classes())
                .containsExactly(
                        new MessageClass("alert", Effect.SAFE, Scope.ALL, false, false, 600, 1.5, 3000, 3000, 4, 0.1),
                        new MessageClass("result", Effect.KEYED, Scope.ZONE, false, false, 1500, 0, 6000, 1000, 1, 0.6),
                        new MessageClass("bill", Effect.UNSAFE, Scope.ALL, true, false, 10, 0, 20, 0, 1, 0));
        assertThat(s.kinds()).containsExactly(new Kind(false, 8), new Kind(true, 1));
        assertThat(s.limits())
                .isEqualTo(new firstair.control.Controller.Limits(
                        5, 31, 4, true, false, false, true, 1500, true, 8, 1200, 6000));
        assertThat(s.rules()).isEqualTo(new Rules(20, 9000, 400, 0.2, 8000, 3, 2500, 30));
        assertThat(c.kinds()).containsExactly("practice", "insurer");
        assertThat(c.zones().number("lab, old")).isEqualTo(1); // as the list names it, and our own number
        assertThat(c.zones().number("annexe")).isEqualTo(2);
        assertThat(c.limits().sockets()).isEqualTo(300);
        assertThat(c.limits().diskBytes()).isEqualTo(2_000_000);
        assertThat(c.limits().roundMs()).isEqualTo(8);
        assertThat(c.limits().connectMs()).isEqualTo(1200);
        assertThat(c.limits().idleMs()).isEqualTo(5800);
    }

    @Test
    void whatIsNotToldImposesNothing() {
        Settings s = read("{'classes':[" + CLASS + "],'loadReport':{'how':'none','names':[]},'accounts':[],"
                + "'limits':{'maxOpen':null,'maxAttempts':null},'safety':null,'shapes':[],'azs':null}");
        assertThat(s.group()).isEqualTo(1);
        assertThat(s.askForList()).isFalse();
        assertThat(s.weight()).isEqualTo(Weight.NONE);
        assertThat(s.limitsTold()).isFalse();
        assertThat(s.classes().get(0).effect()).isEqualTo(Effect.SAFE);
        assertThat(s.limits().slots()).isZero();
        assertThat(s.limits().maxOpen()).isZero();
        assertThat(s.limits().maxAttempts()).isZero();
        assertThat(s.limits().retryAfter()).isFalse();
        assertThat(s.rules()).isEqualTo(new Rules(0, 0, 0, 0, 0, 0, 0, 0));
    }

    /** To JSON 20, 20.0 and 2e1 are one number; which of them a deployment's tools write is up to them. */
    @ParameterizedTest
    @ValueSource(strings = {"20", "20.0", "2e1", "'20'"})
    void aWholeNumberMayBeWrittenInAnyForm(String twenty) {
        Config c = config(
                ",'limits':{'sockets':" + twenty + ",'disk_mb':" + twenty + "}",
                "{'groupSize':" + twenty
                        + ",'classes':[" + CLASS + "],'limits':{'maxOpen':" + twenty + "},'familyInfo':{'maxCalls':"
                        + twenty
                        + ",'bundleMax':[" + twenty + ",1]},'quantum':" + twenty + "}");
        assertThat(c.settings().group()).isEqualTo(20);
        assertThat(c.settings().limits().maxOpen()).isEqualTo(20);
        assertThat(c.settings().limits().slots()).isEqualTo(20);
        assertThat(c.settings().kinds()).containsExactly(new Kind(false, 20), new Kind(false, 1));
        assertThat(c.limits().sockets()).isEqualTo(20);
        assertThat(c.limits().diskBytes()).isEqualTo(20_000_000);
        assertThat(c.limits().roundMs()).isEqualTo(20);
    }

    /** Cut to 32 bits it would be a limit of one, or of fewer than none. */
    @Test
    void aCountBeyondAllCountingStaysLarge() {
        Settings s = read("{'classes':[" + CLASS + "],'limits':{'maxAttempts':4294967297,'maxOpen':4294967297},"
                + "'familyInfo':{'bundleMax':[4294967297],'maxCalls':4294967297}}");
        assertThat(s.limits().maxAttempts()).isEqualTo(Integer.MAX_VALUE);
        assertThat(s.limits().maxOpen()).isEqualTo(Integer.MAX_VALUE);
        assertThat(s.limits().slots()).isEqualTo(Integer.MAX_VALUE);
        assertThat(s.kinds()).containsExactly(new Kind(false, Integer.MAX_VALUE));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "classes.1.semantics | 'semantics':'once'",
                "classes.1.semantics | 'semantics':''",
                "classes.1.group | 'semantics':'dedup','repeatWindow':5000,'group':'region'",
                "classes.1.repeatWindow | 'semantics':'dedup'",
                "classes.1.repeatWindow | 'semantics':'dedup','repeatWindow':0",
                "classes.1.repeatWindow | 'semantics':'fragile','repeatWindow':-1",
                "classes.1.name | 'name':'a'",
                "classes.1.deadline | 'deadline':0.0",
                "classes.1.deadline | 'deadline':-5",
                "classes.1.deadline | 'deadline':NaN",
                "classes.1.aim | 'aim':-0.5",
                "classes.1.importance | 'importance':-1",
                "classes.1.lateValue | 'lateValue':Infinity",
            })
    void aClassThatNobodyCanServeIsRefusedByItsField(String field, String type) {
        assertThatThrownBy(() -> withClass("{" + (type.contains("'name'") ? "" : "'name':'b',") + type + "}"))
                .isInstanceOf(ConfigException.class)
                .hasMessageStartingWith("config: field settings." + field + ": ")
                .satisfies(e -> assertThat(((ConfigException) e).lines()).hasSize(1));
    }

    @ParameterizedTest
    @CsvSource({
        "quantum,-1",
        "limits.connectTimeout,-1",
        "limits.connIdle,-0.1",
        "safety.drainGrace,-1",
        "safety.fallMultiple,-2",
        "safety.startCapacity,NaN",
        "safety.warmAfter,-Infinity",
        "limits.maxOpen,2.5",
        "limits.retryAfter,maybe",
        "loadReport.how,sometimes"
    })
    void aFigureThatNothingCanHaveIsRefusedByItsField(String field, String value) {
        String[] path = field.split("\\.");
        String text = "'" + value + "'";
        String told =
                path.length == 1 ? "'" + field + "':" + text : "'" + path[0] + "':{'" + path[1] + "':" + text + "}";
        assertThatThrownBy(() -> read("{'classes':[" + CLASS + "]," + told + "}"))
                .isInstanceOf(ConfigException.class)
                .hasMessageStartingWith("config: field settings." + field + ": ");
    }

    /** A relay that does not start serves nobody: what can be served is, however little sense it makes. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "'discovery':'ask','safety':{'askEvery':0}",
                "'discovery':'gossip'",
                "'az':9,'azs':['x']",
                "'slotNo':9,'groupSize':2",
                "'groupSize':0",
                "'limits':{'maxOpen':1,'maxAttempts':-1}",
                "'familyInfo':{'maxCalls':0}",
                "'familyInfo':{'maxCalls':50},'limits':{'maxOpen':2}",
                "'safety':{'startCapacity':2,'fallMultiple':0.5}",
                "'loadReport':{'how':'answers','names':['queue']}",
                "'weightKind':'live'",
                "'unheard':{'of':[{'a':1},[2]]}",
                "'familyInfo':{'late':'steps'}",
                "'accounts':'','azs':'','shapes':''"
            })
    void whatCanBeServedIsServed(String rest) {
        assertThat(read("{'classes':[" + CLASS + "]," + rest + "}").classes()).hasSize(1);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "'semantics':'fragile','group':'region'",
                "'semantics':'dedup','repeatWindow':1",
                "'semantics':'dedup','group':'cell','repeatWindow':1000",
                "'aim':500,'deadline':100",
                "'importance':0"
            })
    void aClassThatCanBeServedIsServed(String type) {
        assertThat(withClass("{'name':'b'," + type + "}").classes()).hasSize(2);
    }

    @Test
    void aListThatCannotBeReadIsOneShortLine() {
        assertThatThrownBy(() -> config(
                        ",'known':{'version':1,'servers':{'x':'" + "y".repeat(50_000) + "'}}",
                        "{'classes':[" + CLASS + "]}"))
                .isInstanceOf(ConfigException.class)
                .hasMessageStartingWith("config: field known: not a list of endpoints: ")
                .satisfies(e -> assertThat(e.getMessage()).hasSizeLessThan(400));
    }
}
