package firstair.fleet;

import firstair.control.Controller.BookedCapacity;
import java.util.Set;

/**
 * The constraints of a message in addition to those of its class.
 *
 * @param zones names of the zones to which it may be sent, or null for all
 * @param lane  rate limit of its booking, or null if it has none
 */
public record Terms(Set<String> zones, BookedCapacity lane) {}
