/**
 * The command line. Each command is a class of its own that {@code META-INF/services/firstair.cli.Part} names, so
 * that a new one joins without touching the others; a relay that serves loads none of them.
 */
package firstair.cli;
