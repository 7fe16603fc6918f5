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

/** Deployments specify different fields: each one is read, and a missing one imposes no limit. */
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
    void everyFieldIsRead() {
        Config config = config(
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
        Settings settings = config.settings();
        assertThat(settings.group()).isEqualTo(7);
        assertThat(settings.index()).isEqualTo(3);
        assertThat(settings.zone()).isEqualTo(1);
        assertThat(settings.askForList()).isTrue();
        assertThat(settings.weight()).isEqualTo(Weight.ESTIMATED);
        assertThat(settings.limitsTold()).isTrue();
        assertThat(settings.late()).isEqualTo(LateCurve.HALVING);
        assertThat(settings.classes())
                .containsExactly(
                        new MessageClass("alert", Effect.SAFE, Scope.ALL, false, false, 600, 1.5, 3000, 3000, 4, 0.1),
                        new MessageClass("result", Effect.KEYED, Scope.ZONE, false, false, 1500, 0, 6000, 1000, 1, 0.6),
                        new MessageClass("bill", Effect.UNSAFE, Scope.ALL, true, false, 10, 0, 20, 0, 1, 0));
        assertThat(settings.kinds()).containsExactly(new Kind(false, 8), new Kind(true, 1));
        assertThat(settings.limits())
                .isEqualTo(new firstair.control.Controller.Limits(
                        5, 31, 4, true, false, false, true, 1500, true, 8, 1200, 6000));
        assertThat(settings.rules()).isEqualTo(new Rules(20, 9000, 400, 0.2, 8000, 3, 2500, 30));
        assertThat(config.kinds()).containsExactly("practice", "insurer");
        assertThat(config.zones().number("lab, old")).isEqualTo(1); // by the name on the list
        assertThat(config.zones().number("annexe")).isEqualTo(2);
        assertThat(config.limits().sockets()).isEqualTo(300);
        assertThat(config.limits().diskBytes()).isEqualTo(2_000_000);
        assertThat(config.limits().roundMs()).isEqualTo(8);
        assertThat(config.limits().connectMs()).isEqualTo(1200);
        assertThat(config.limits().idleMs()).isEqualTo(5800);
    }

    @Test
    void missingFieldsImposeNoLimit() {
        Settings settings = read("{'classes':[" + CLASS + "],'loadReport':{'how':'none','names':[]},'accounts':[],"
                + "'limits':{'maxOpen':null,'maxAttempts':null},'safety':null,'shapes':[],'azs':null}");
        assertThat(settings.group()).isEqualTo(1);
        assertThat(settings.askForList()).isFalse();
        assertThat(settings.weight()).isEqualTo(Weight.NONE);
        assertThat(settings.limitsTold()).isFalse();
        assertThat(settings.classes().get(0).effect()).isEqualTo(Effect.SAFE);
        assertThat(settings.limits().slots()).isZero();
        assertThat(settings.limits().maxOpen()).isZero();
        assertThat(settings.limits().maxAttempts()).isZero();
        assertThat(settings.limits().retryAfter()).isFalse();
        assertThat(settings.rules()).isEqualTo(new Rules(0, 0, 0, 0, 0, 0, 0, 0));
    }

    /** 20, 20.0 and 2e1 are the same number in JSON, and a deployment's tools may write any of them. */
    @ParameterizedTest
    @ValueSource(strings = {"20", "20.0", "2e1", "'20'"})
    void anIntegerMayBeWrittenInAnyForm(String twenty) {
        Config config = config(
                ",'limits':{'sockets':" + twenty + ",'disk_mb':" + twenty + "}",
                "{'groupSize':" + twenty
                        + ",'classes':[" + CLASS + "],'limits':{'maxOpen':" + twenty + "},'familyInfo':{'maxCalls':"
                        + twenty
                        + ",'bundleMax':[" + twenty + ",1]},'quantum':" + twenty + "}");
        assertThat(config.settings().group()).isEqualTo(20);
        assertThat(config.settings().limits().maxOpen()).isEqualTo(20);
        assertThat(config.settings().limits().slots()).isEqualTo(20);
        assertThat(config.settings().kinds()).containsExactly(new Kind(false, 20), new Kind(false, 1));
        assertThat(config.limits().sockets()).isEqualTo(20);
        assertThat(config.limits().diskBytes()).isEqualTo(20_000_000);
        assertThat(config.limits().roundMs()).isEqualTo(20);
    }

    /** Truncated to 32 bits, the value would become a limit of 1. */
    @Test
    void aCountAboveTheIntRangeIsClamped() {
        Settings settings = read("{'classes':[" + CLASS + "],'limits':{'maxAttempts':4294967297,'maxOpen':4294967297},"
                + "'familyInfo':{'bundleMax':[4294967297],'maxCalls':4294967297}}");
        assertThat(settings.limits().maxAttempts()).isEqualTo(Integer.MAX_VALUE);
        assertThat(settings.limits().maxOpen()).isEqualTo(Integer.MAX_VALUE);
        assertThat(settings.limits().slots()).isEqualTo(Integer.MAX_VALUE);
        assertThat(settings.kinds()).containsExactly(new Kind(false, Integer.MAX_VALUE));
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
    void anInvalidClassIsRejectedByItsField(String field, String type) {
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
    void anInvalidValueIsRejectedByItsField(String field, String value) {
        String[] path = field.split("\\.");
        String text = "'" + value + "'";
        String fields =
                path.length == 1 ? "'" + field + "':" + text : "'" + path[0] + "':{'" + path[1] + "':" + text + "}";
        assertThatThrownBy(() -> read("{'classes':[" + CLASS + "]," + fields + "}"))
                .isInstanceOf(ConfigException.class)
                .hasMessageStartingWith("config: field settings." + field + ": ");
    }

    /** A relay that does not start delivers nothing, so even unreasonable settings are accepted if usable. */
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
    void usableSettingsAreAccepted(String rest) {
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
    void aUsableClassIsAccepted(String type) {
        assertThat(withClass("{'name':'b'," + type + "}").classes()).hasSize(2);
    }

    @Test
    void anInvalidListIsReportedInOneShortLine() {
        assertThatThrownBy(() -> config(
                        ",'known':{'version':1,'servers':{'x':'" + "y".repeat(50_000) + "'}}",
                        "{'classes':[" + CLASS + "]}"))
                .isInstanceOf(ConfigException.class)
                .hasMessageStartingWith("config: field known: not a list of endpoints: ")
                .satisfies(e -> assertThat(e.getMessage()).hasSizeLessThan(400));
    }
}
