package firstair.relay.discovery;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import firstair.control.Controller.Entry;
import firstair.control.Controller.Listing;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EndpointListTest {
    private static final List<String> KINDS = List.of("m1", "m2");
    private static final Zones ZONES = new Zones(List.of("a", "b"));

    @Test
    void namesAreMappedToTheNumbersInTheSettings() {
        EndpointList list = EndpointList.read(
                "{\"version\":41,\"full\":false,\"servers\":[{\"id\":\"s-1\",\"addr\":\"127.0.0.1:90\","
                        + "\"zone\":\"b\",\"kind\":\"m2\",\"cell\":3,\"state\":\"draining\","
                        + "\"weight\":1.5,\"started_ms\":0},"
                        + "{\"id\":\"s-2\",\"addr\":\"127.0.0.1:91\",\"zone\":\"c\",\"kind\":\"m9\",\"cell\":4,"
                        + "\"state\":\"removed\"}]}",
                KINDS,
                ZONES);
        assertThat(list.version()).isEqualTo(41);
        assertThat(list.full()).isFalse();
        assertThat(list.entries())
                .containsExactly(
                        new Entry("s-1", 3, 1, 1, 1.5, Listing.LEAVING), new Entry("s-2", 4, 1, 2, 1, Listing.LEFT));
        assertThat(list.addresses().get("s-1").getPort()).isEqualTo(90);
    }

    /** A larger fleet may have zones that the settings do not name; two of them must never share a number. */
    @Test
    void unknownZonesGetDistinctNumbers() {
        Zones zones = new Zones(List.of("a"));
        assertThat(List.of("x", "a", "y", "x", "b").stream().map(zone -> EndpointList.read(
                                "{\"version\":1,"
                                        + "\"servers\":[{"
                                        + "\"id\":\"s\",\"addr\":\"127.0.0.1:90\","
                                        + "\"cell\":1,\"state\":\"up\",\"zone\":\""
                                        + zone + "\"}]}",
                                KINDS,
                                zones)
                        .entries()
                        .get(0)
                        .zone()))
                .containsExactly(1, 0, 2, 1, 3);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "7",
                "{}",
                "{\"version\":1,\"servers\":[]} x",
                "{'version':1,'servers':[]}",
                "{\"version\":1}",
                "{\"version\":1,\"servers\":7}",
                "{\"version\":1,\"servers\":[{}]}",
                "{\"version\":1,\"servers\":[{\"id\":\"s\",\"addr\":\"x\",\"cell\":1,\"state\":\"up\"}]}",
                "{\"version\":1,\"servers\":[{\"id\":\"s\",\"addr\":\"127.0.0.1:1\",\"cell\":1,"
                        + "\"state\":\"up\",\"weight\":NaN}]}",
                "{\"version\":1,\"servers\":[{\"id\":\"s\",\"addr\":\"127.0.0.1:1\",\"cell\":1,"
                        + "\"state\":\"up\",\"weight\":-1}]}",
                "{\"version\":1,\"servers\":[{\"id\":\"s\",\"addr\":\"x:1\",\"cell\":1,\"state\":\"odd\"}]}"
            })
    void invalidListsAreRejected(String text) {
        assertThatThrownBy(() -> EndpointList.read(text, KINDS, ZONES)).isInstanceOf(IllegalArgumentException.class);
    }
}
