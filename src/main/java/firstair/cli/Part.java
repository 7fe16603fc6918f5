package firstair.cli;

import java.util.concurrent.Callable;

/** A subcommand, described by picocli's annotations; {@link #call} returns the exit status. */
public interface Part extends Callable<Integer> {}
