package firstair.cli;

import java.util.concurrent.Callable;

/** A command of the program: an object with picocli's annotations, whose call returns the exit status. */
public interface Part extends Callable<Integer> {}
