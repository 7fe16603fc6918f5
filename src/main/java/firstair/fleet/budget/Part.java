package firstair.fleet.budget;

/**
 * What a relay may use of a budget. It holds only until the next event is told to {@link Budgets}, which may lower it.
 *
 * @param parts millionths of the whole that may be used until {@code until}
 * @param until moment on the relay's own clock, ms; infinite where nothing ends
 * @param sure  millionths that may be used from then on, whatever is heard
 */
public record Part(int parts, double until, int sure) {}
