package firstair;

import firstair.relay.Config;
import firstair.relay.ConfigException;
import firstair.relay.Logs;
import firstair.relay.Relay;
import firstair.simhost.SimHost;
import firstair.simhost.WireException;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicReference;

/** The command line. */
public final class Main {
    private Main() { }

    /** Runs a subcommand. */
    public static void main(String[] args) throws IOException, InterruptedException {
        int status = run(args);
        if (status != 0) {
            System.exit(status);
        }
    }

    /** Runs a subcommand and returns the exit status. */
    static int run(String[] args) throws IOException, InterruptedException {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "serve":
                return serve();
            case "simhost":
                return simhost();
            default:
                System.err.println("usage: firstair serve | simhost");
                System.err.println("  serve     run one relay, configured by ROUTER_CONFIG and ROUTER_STATE");
                System.err.println("  simhost   host the decisions on the simulator's wire (standard streams)");
                return 2;
        }
    }

    private static int serve() throws IOException, InterruptedException {
        Logs.install();
        AtomicReference<Relay> serving = new AtomicReference<>();
        Signals.onHangup(() -> { // before anything else: a relay that is still starting must not end by it either
            Relay r = serving.get();
            if (r != null) {
                r.reload(() -> Config.read(System.getenv()));
            }
        });
        Relay relay;
        try {
            relay = new Relay(Config.read(System.getenv()));
        } catch (ConfigException e) {
            System.err.println("firstair: " + e.getMessage());
            return 2;
        } catch (IOException e) {
            return failed(e);
        }
        serving.set(relay);
        Runtime.getRuntime().addShutdownHook(new Thread(relay::stop, "stop"));
        try {
            relay.run();
            return 0;
        } catch (IOException e) {
            return failed(e);
        }
    }

    private static int failed(IOException e) {
        System.err.println("firstair: " + e);
        return 1;
    }

    private static int simhost() throws IOException {
        try {
            new SimHost(System.in, System.out).run();
            return 0;
        } catch (WireException e) {
            System.err.println("firstair: " + e.getMessage());
            return 1;
        }
    }
}
