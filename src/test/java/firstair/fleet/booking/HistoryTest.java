package firstair.fleet.booking;

import static firstair.fleet.booking.BookingFixtures.HOUR;
import static firstair.fleet.booking.BookingFixtures.MINUTE;
import static firstair.fleet.booking.BookingFixtures.NOW;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

/** Random operations: totals stay within capacity, sealed bookings stay, and a replay produces identical bytes. */
class HistoryTest {
    private static final int SEEDS = 40;
    private static final int STEPS = 250;
    private static final int MAX_SETS = 40;

    private static Operation randomOperation(Random random, long now) {
        String id = "x" + random.nextInt(30);
        String team = List.of("a", "b", "c").get(random.nextInt(3));
        long start = now + (long) (random.nextDouble() * 8 * HOUR);
        long end = start + MINUTE + (long) (random.nextDouble() * 3 * HOUR);
        return switch (random.nextInt(18)) {
            case 0, 1, 2, 3, 4, 5 -> {
                Map<Integer, Long> rates = new TreeMap<>();
                for (int d = 1; d <= 3; d++) {
                    if (d == 1 || random.nextBoolean()) {
                        rates.put(d, 1L + random.nextInt(30_000));
                    }
                }
                yield Operation.Put.of(
                        "x" + random.nextInt(100_000),
                        team,
                        random.nextInt(3),
                        rates,
                        start,
                        end,
                        random.nextInt(4) > 0);
            }
            case 6 -> new Operation.End(id, team, "done");
            case 7 -> new Operation.Extend(id, team, end);
            case 8 -> new Operation.Move(id, start, end, "moved");
            case 9 -> new Operation.Drop(id, "dropped");
            case 10 -> new Operation.Limit(1 + random.nextInt(3), random.nextInt(4) == 0 ? 50_000 : 100_000);
            case 11 -> new Operation.SetTeam(team, 200_000_000L + random.nextInt(900_000_000), "Asia/Kolkata");
            case 12 ->
                new Operation.SetDestination(
                        1 + random.nextInt(3), 100_000, 400_000 + random.nextInt(200_000), List.of());
            default -> new Operation.Tick();
        };
    }

    /** Mostly an operation on an existing booking, so that bookings make progress. */
    private static Operation nextOperation(Bookings bookings, Random random, long now) {
        if (bookings.all().isEmpty() || random.nextInt(3) == 0) {
            return randomOperation(random, now);
        }
        List<Booking> candidates = List.copyOf(bookings.all());
        Booking b = candidates.get(random.nextInt(candidates.size()));
        long start = now + (long) (random.nextDouble() * 4 * HOUR);
        return switch (b.state()) {
            case HELD ->
                random.nextInt(5) == 0
                        ? new Operation.Move(b.id(), start, start + HOUR, "moved")
                        : new Operation.Confirm(b.id(), b.team());
            case CONFIRMED, SEALED, REQUESTED ->
                switch (random.nextInt(12)) {
                    case 0, 1, 2 -> new Operation.Move(b.id(), start, start + HOUR, "moved");
                    case 3 -> new Operation.Drop(b.id(), "dropped");
                    case 4 -> new Operation.End(b.id(), b.team(), "not needed");
                    default -> randomOperation(random, now);
                };
            case RUNNING ->
                switch (random.nextInt(3)) {
                    case 0 -> new Operation.ShowUp(b.id(), b.team());
                    case 1 -> new Operation.Extend(b.id(), b.team(), b.endMs() + HOUR);
                    default -> new Operation.End(b.id(), b.team(), "done");
                };
            default -> randomOperation(random, now);
        };
    }

    /** Applies random operations and returns the states reached with the first words of their causes. */
    private static Set<String> runHistory(long seed, Supplier<Bookings> factory, boolean withRestore) {
        Set<String> transitions = new TreeSet<>();
        Random random = new Random(seed);
        Bookings bookings = BookingFixtures.withSetup(factory.get());
        Bookings replay = BookingFixtures.withSetup(factory.get());
        Bookings restored = null;
        List<SealedBookings> sets = new ArrayList<>();
        long now = NOW;
        for (int i = 0; i < STEPS; i++) {
            now += random.nextInt(4) == 0 ? random.nextInt((int) HOUR) : random.nextInt((int) MINUTE);
            Operation o = nextOperation(bookings, random, now);
            // the clock of a new leader may be slow
            long leaderTime = now - random.nextInt(2) * random.nextInt((int) MINUTE);
            Result r = bookings.apply(leaderTime, o);
            assertThat(replay.apply(leaderTime, Operations.read(Operations.write(o)))
                            .changes())
                    .isEqualTo(r.changes());
            r.changes()
                    .forEach(c ->
                            transitions.add(c.to().label() + ", " + c.cause().replaceAll(" .*", "")));
            checkTotals(seed, bookings);
            SealedBookings set = bookings.sealedSet(now);
            sets.forEach(s -> checkCompatible(seed, s, set, bookings.time()));
            sets.add(set);
            if (sets.size() > MAX_SETS) {
                sets.remove(random.nextInt(MAX_SETS));
            }
            if (restored != null) {
                assertThat(restored.apply(leaderTime, o).changes())
                        .as("seed %d", seed)
                        .isEqualTo(r.changes());
            }
            if (withRestore && i % 50 == 0) {
                restored = Bookings.restore(bookings.snapshot());
            }
        }
        assertThat(replay.snapshot()).as("seed %d", seed).isEqualTo(bookings.snapshot());
        if (restored != null) {
            assertThat(restored.snapshot()).as("seed %d", seed).isEqualTo(bookings.snapshot());
        }
        return transitions;
    }

    /** Recomputes the totals from the bookings at each instant at which a total can peak. */
    private static void checkTotals(long seed, Bookings bookings) {
        for (int d = 1; d <= 3; d++) {
            int number = d;
            // nothing is booked at that time
            long capacity = bookings.availableRate(d, Operation.MAX_TIME_MS - 1, Operation.MAX_TIME_MS);
            for (Booking at : bookings.all()) {
                long ms = Math.max(at.startMs(), bookings.time());
                long sum = bookings.all().stream()
                        .filter(b -> b.holdsCapacity() && b.startMs() <= ms && ms < b.bookedToMs())
                        .mapToLong(b -> b.rates().getOrDefault(number, 0L))
                        .sum();
                assertThat(sum).as("seed %d, destination %d", seed, d).isLessThanOrEqualTo(capacity);
            }
        }
    }

    /** Relays with the later set must reserve everything that a relay with the earlier set may send. */
    private static void checkCompatible(long seed, SealedBookings earlier, SealedBookings later, long now) {
        Map<String, SealedBookings.Entry> earlierById = new TreeMap<>();
        Map<String, SealedBookings.Entry> laterById = new TreeMap<>();
        earlier.entries().forEach(e -> earlierById.put(e.id(), e));
        later.entries().forEach(e -> laterById.put(e.id(), e));
        for (SealedBookings.Entry e : later.entries()) {
            assertThat(e.startMs() > earlier.throughMs() || earlierById.containsKey(e.id()))
                    .as("seed %d: %s was granted before the horizon", seed, e)
                    .isTrue();
        }
        for (SealedBookings.Entry e : earlier.entries()) {
            long to = Math.min(e.endMs(), earlier.throughMs());
            if (Math.max(now, e.startMs()) < to && !e.rates().isEmpty()) {
                SealedBookings.Entry current = laterById.get(e.id());
                assertThat(current).as("seed %d: %s is gone", seed, e).isNotNull();
                assertThat(current.startMs()).as("seed %d", seed).isEqualTo(e.startMs());
                assertThat(current.endMs()).as("seed %d", seed).isGreaterThanOrEqualTo(to);
                e.rates().forEach((d, rate) -> assertThat(
                                current.reservedUntilMs() >= to
                                        ? current.reserved().get(d)
                                        : current.rates().get(d))
                        .as("seed %d: %s, %s", seed, e, current)
                        .isGreaterThanOrEqualTo(rate));
            }
        }
    }

    @Test
    void totalsHoldSealedBookingsStayAndReplayIsDeterministic() {
        Set<String> transitions = new TreeSet<>();
        for (long seed = 0; seed < SEEDS; seed++) {
            transitions.addAll(runHistory(seed, () -> new Bookings(Rules.defaults()), true));
        }
        assertThat(transitions)
                .contains(
                        "running, cut",
                        "sealed, cut",
                        "running, extended",
                        "released, nobody",
                        "held, offered",
                        "ended, ended",
                        "ended, its",
                        "lapsed, not",
                        "held, moved",
                        "refused, F405,",
                        "refused, F404,",
                        "released, dropped",
                        "released, given");
    }

    private static void assertDetected(Supplier<Bookings> faultyFactory, String expectedMessage) {
        assertThatThrownBy(() -> {
                    for (long seed = 0; seed < SEEDS; seed++) {
                        runHistory(seed, faultyFactory, false); // restoring a snapshot would repair the fault
                    }
                })
                .isInstanceOf(AssertionError.class)
                .hasMessageContaining(expectedMessage);
    }

    @Test
    void detectsATimelineThatIgnoresStepsInsideASpan() {
        assertDetected(
                () -> new Bookings(Rules.defaults(), () -> new RateTimeline() {
                    @Override
                    long max(long fromMs, long toMs) {
                        return at(fromMs);
                    }
                }),
                "destination");
    }

    @Test
    void detectsBookingsThatIgnoreTheHorizon() {
        assertDetected(
                () -> new Bookings(Rules.defaults()) {
                    @Override
                    boolean withinHorizon(long ms) {
                        return false;
                    }
                },
                "before the horizon");
    }

    @Test
    void handlesTenThousandBookingsOverTwoYearsInBoundedTime() {
        Bookings bookings = new Bookings(Rules.defaults());
        for (int d = 0; d < 50; d++) {
            bookings.apply(NOW, new Operation.SetDestination(d, 1_000_000, 800_000, List.of()));
        }
        bookings.apply(NOW, new Operation.SetTeam("a", Operation.MAX_QUOTA, "Europe/Berlin"));
        Random random = new Random(1);
        long startNs = System.nanoTime();
        int held = 0;
        for (int i = 0; i < 10_000; i++) {
            Map<Integer, Long> rates = new TreeMap<>();
            for (int k = 0; k < 5; k++) {
                rates.put(random.nextInt(50), 100_000L);
            }
            long start = NOW + 2 * HOUR + random.nextInt(700 * 24) * HOUR;
            if (bookings.apply(
                                    NOW + i,
                                    Operation.Put.of(
                                            "x" + i,
                                            "a",
                                            i % 5,
                                            rates,
                                            start,
                                            start + (1 + random.nextInt(23)) * HOUR,
                                            true))
                            .orThrow()
                            .booking()
                            .state()
                    == State.HELD) {
                bookings.apply(NOW + i, new Operation.Confirm("x" + i, "a")).orThrow();
                held++;
            }
        }
        for (int hour = 0; hour < 700 * 24; hour++) {
            bookings.apply(NOW + hour * HOUR, new Operation.Tick());
        }
        double seconds = (System.nanoTime() - startNs) / 1e9;
        assertThat(held).isGreaterThan(9000);
        assertThat(seconds).isLessThan(20); // some 37,000 operations
    }
}
