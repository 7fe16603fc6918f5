/**
 * The command line. Each command is a class that {@code META-INF/services/firstair.cli.Part} lists, so that adding one
 * changes no other; a relay started by {@code firstair serve} without flags loads none of them.
 */
package firstair.cli;
