package firstair.kit.run;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.kit.fleet.FaultyLinks;
import firstair.relay.standin.StandInPlatform;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class NodeTest {
    @TempDir
    private Path folder;

    @Test
    void aProcessStartsWithAFleetBehindFaultyLinks() throws Exception {
        Map<String, InetSocketAddress> addresses = FaultyLinks.freeAddresses(List.of("a", "b", "c"));
        Node node = new Node(folder, "127.0.0.1:1", StandInPlatform.list(1, true, "s1 7 127.0.0.1:1"));
        node.relayGroup("b", 3, 1);
        node.zones(List.of("east", "west"), "west");
        try (FaultyLinks links = new FaultyLinks(1, addresses)) {
            node.fleet("[fleet]\nname = 'f'\npeers = '" + links.peersOf("b") + "'\nvoters = ['a', 'b', 'c']\n");
            node.start();
            assertThat(node.address().getPort()).isPositive();
            node.terminate();
            assertThat(node.exitStatus()).as("ended by SIGTERM").isEqualTo(143);
            node.fleet("[fleet]\nname = 'f'\npeers = []\nvoters = ['a', 'b', 5]\n");
            node.launch();
            assertThat(node.exitStatus()).isEqualTo(2);
            assertThat(node.completeLog())
                    .singleElement()
                    .asString()
                    .contains("settings.toml:4:1: fleet.voters: found a list");
        } finally {
            node.kill();
        }
    }
}
