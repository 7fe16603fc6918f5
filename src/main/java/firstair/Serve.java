package firstair;

import firstair.relay.Config;
import firstair.relay.ConfigException;
import firstair.relay.Logs;
import firstair.relay.Relay;
import firstair.relay.TunableSettings;
import firstair.relay.store.UnusableFolderException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.stream.Stream;

/** Runs one relay in this process until it is told to end. */
public final class Serve {
    private Serve() {}

    /**
     * Serves by the configuration that an environment names ({@code ROUTER_CONFIG}, {@code ROUTER_STATE}).
     *
     * @return the exit status: 0 ended in order, 1 failed, 2 the configuration cannot be used
     */
    public static int run(Map<String, String> env) throws InterruptedException {
        Logs.install();
        Hangups hangups = new Hangups();
        // Before anything else: a relay that is still starting must not end by it, nor miss a change of its files.
        if (!Signals.onHangup(hangups::signal)) {
            hangups.watch(Stream.of("ROUTER_CONFIG", TunableSettings.FILE)
                    .filter(env::containsKey)
                    .map(env::get)
                    .map(Path::of)
                    .toList());
        }
        Relay relay;
        try {
            relay = new Relay(Config.read(env).with(TunableSettings.read(env)));
        } catch (ConfigException e) {
            e.lines().forEach(l -> System.err.println("firstair: " + l));
            return 2;
        } catch (IOException e) {
            return failed(e);
        }
        relay.lookForChanges(hangups::look);
        hangups.serving(() -> relay.reload(() -> Config.read(env), () -> TunableSettings.read(env)));
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            relay.stop();
                            Logs.drain();
                        },
                        "stop"));
        try {
            relay.run();
            return 0;
        } catch (IOException e) {
            return failed(e);
        }
    }

    private static int failed(IOException e) {
        System.err.println("firstair: " + (e instanceof UnusableFolderException ? e.getMessage() : e));
        return 1;
    }
}
