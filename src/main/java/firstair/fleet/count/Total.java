package firstair.fleet.count;

/**
 * A sum over relays, and how complete it is.
 *
 * @param sum      calls
 * @param relays   number of relays, including this one, with counts in the requested span
 * @param ofRelays number of all relays
 * @param oldestMs age of the newest count of the relay that reported least recently; 0 if there is none
 */
public record Total(long sum, int relays, int ofRelays, double oldestMs) {}
