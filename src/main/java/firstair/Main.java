package firstair;

import firstair.cli.Cli;
import firstair.simhost.SimHost;
import firstair.simhost.WireException;
import java.io.IOException;

/**
 * Where the program starts. The two commands that deployments run are told apart by hand, so that a relay loads no
 * class of the command line; everything else is {@link Cli}'s.
 */
public final class Main {
    private Main() {}

    /** Runs a command and ends with its status. */
    public static void main(String[] args) throws IOException, InterruptedException {
        int status = run(args);
        if (status != 0) {
            System.exit(status);
        }
    }

    /** Runs a command and returns the exit status. */
    static int run(String[] args) throws IOException, InterruptedException {
        String alone = args.length == 1 ? args[0] : "";
        switch (alone) {
            case "serve":
                return Serve.run(System.getenv());
            case "simhost":
                return simhost();
            default:
                return Cli.run(args);
        }
    }

    /** Hosts the decisions on the simulator's wire, over the standard streams; returns the exit status. */
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
