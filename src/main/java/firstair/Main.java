package firstair;

import firstair.cli.Cli;
import firstair.simhost.SimHost;
import firstair.simhost.WireException;
import java.io.IOException;

/**
 * Entry point of the program. The two commands that deployments run without arguments are dispatched here, so that a
 * relay loads no class of the command line; {@link Cli} handles everything else.
 */
public final class Main {
    private Main() {}

    /** Runs a command and exits with its status. */
    public static void main(String[] args) throws IOException, InterruptedException {
        int status = run(args);
        if (status != 0) {
            System.exit(status);
        }
    }

    /** Runs a command and returns the exit status. */
    static int run(String[] args) throws IOException, InterruptedException {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "serve":
                return Serve.run(System.getenv());
            case "simhost":
                return simhost();
            default:
                return Cli.run(args);
        }
    }

    /**
     * Runs the controller behind the simulator's wire protocol, over the standard streams.
     *
     * @return the exit status: 0 at the end of the input, 1 after a violation of the protocol
     * @throws IOException if the standard streams fail
     */
    public static int simhost() throws IOException {
        try {
            new SimHost(System.in, System.out).run();
            return 0;
        } catch (WireException e) {
            System.err.println("firstair: " + e.getMessage());
            return 1;
        }
    }
}
