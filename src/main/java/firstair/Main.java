package firstair;

import firstair.simhost.SimHost;
import firstair.simhost.WireException;
import java.io.IOException;

/** The command line. */
public final class Main {
    private Main() { }

    /** Runs a subcommand. */
    public static void main(String[] args) throws IOException {
        System.exit(run(args));
    }

    /** Runs a subcommand and returns the exit status. */
    static int run(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("simhost")) {
            System.err.println("usage: firstair simhost");
            System.err.println("  simhost   host the decisions on the simulator's wire (standard input and output)");
            return 2;
        }
        try {
            new SimHost(System.in, System.out).run();
            return 0;
        } catch (WireException e) {
            System.err.println("firstair: " + e.getMessage());
            return 1;
        }
    }
}
