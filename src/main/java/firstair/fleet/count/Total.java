package firstair.fleet.count;

/**
 * A sum over relays, and what it rests on.
 *
 * @param sum      calls
 * @param relays   how many relays have told anything of that span, we with them
 * @param ofRelays how many there are
 * @param oldestMs how old the newest news of the relay is that has told least lately; 0 if there is none
 */
public record Total(long sum, int relays, int ofRelays, double oldestMs) {}
