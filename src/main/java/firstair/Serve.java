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

/** Runs one relay in this process until it is asked to stop. */
public final class Serve {
    private Serve() {}

    /**
     * Serves with the configuration that the environment names ({@code ROUTER_CONFIG}, {@code ROUTER_STATE}).
     *
     * @param env the environment's variables
     * @return the exit status: 0 after an orderly stop, 1 after a failure, 2 if the configuration is invalid
     * @throws InterruptedException if the calling thread is interrupted
     */
    public static int run(Map<String, String> env) throws InterruptedException {
        Logs.install();
        ReloadTrigger hangups = new ReloadTrigger();
        // First of all: SIGHUP must neither terminate a relay that is still starting, nor be lost by it.
        if (!SignalHandlers.onHangup(hangups::signal)) {
            hangups.startPolling(Stream.of("ROUTER_CONFIG", TunableSettings.FILE_VARIABLE)
                    .filter(env::containsKey)
                    .map(env::get)
                    .map(Path::of)
                    .toList());
        }
        Relay relay;
        try {
            relay = new Relay(Config.read(env).withLocalSettings(TunableSettings.read(env)));
        } catch (ConfigException e) {
            e.lines().forEach(line -> System.err.println("firstair: " + line));
            return 2;
        } catch (IOException e) {
            return reportFailure(e);
        }
        relay.setConfigCheck(hangups::poll);
        hangups.startServing(() -> relay.reload(() -> Config.read(env), () -> TunableSettings.read(env)));
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
            return reportFailure(e);
        }
    }

    private static int reportFailure(IOException e) {
        System.err.println("firstair: " + (e instanceof UnusableFolderException ? e.getMessage() : e));
        return 1;
    }
}
