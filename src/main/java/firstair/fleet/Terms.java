package firstair.fleet;

import firstair.control.Controller.Lane;
import java.util.Set;

/**
 * What binds a message beyond its class.
 *
 * @param zones names of the zones in which it may be sent, or null for all
 * @param lane  what was booked for it, or null
 */
public record Terms(Set<String> zones, Lane lane) {}
