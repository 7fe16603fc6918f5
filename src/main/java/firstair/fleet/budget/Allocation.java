package firstair.fleet.budget;

/**
 * What a relay may use of a budget. It holds only until the next event is reported to {@link Budgets}, which may lower
 * it.
 *
 * @param parts      millionths of the whole budget that may be used until {@code until}
 * @param until      time on the relay's own clock, ms; infinite if the allocation doesn't expire
 * @param guaranteed millionths that may be used after {@code until}, whatever notes arrive
 */
public record Allocation(int parts, double until, int guaranteed) {}
