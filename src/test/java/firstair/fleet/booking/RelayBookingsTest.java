package firstair.fleet.booking;

import static firstair.fleet.booking.BookingFixtures.at;
import static firstair.fleet.booking.BookingFixtures.put;
import static firstair.fleet.booking.BookingFixtures.startRunning;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import firstair.fleet.Setup;
import firstair.fleet.fault.Fault;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class RelayBookingsTest {
    private static final double SKEW_MS = 1000;
    private static final int HALF = Setup.WHOLE / 2;
    private final Bookings bookings = BookingFixtures.bookings();
    private final RelayBookings booked = new RelayBookings(SKEW_MS);

    private double rate(long wallMs) {
        return booked.rate(wallMs, "x", "a", 1, HALF);
    }

    private double ordinary(long wallMs) {
        return booked.ordinaryRate(wallMs, 1, 100, 0.5);
    }

    @Test
    void withoutASetNoBookingIsUsedAndAllBookableCapacityIsReserved() {
        assertThat(rate(at(10))).isZero();
        assertThat(ordinary(at(10))).isEqualTo(50);
        assertThat(booked.borrowableRate(0, at(10), 1, id -> Setup.WHOLE)).isZero();
        startRunning(bookings, "x", "a", 30, 10, 12);
        booked.acceptVersion(bookings.sealedSet(at(10)));
        assertThat(rate(at(10.2))).isEqualTo(15);
        assertThat(ordinary(at(10.2))).isEqualTo(70);
        assertThat(rate(at(10.25))).isZero(); // the set ends here, and the clock may be slow
        assertThat(ordinary(at(10.25))).isEqualTo(50);
    }

    @Test
    void clockErrorInEitherDirectionIsToleratedAroundStartAndEnd() {
        startRunning(bookings, "x", "a", 30, 10, 10.1);
        booked.acceptVersion(bookings.sealedSet(at(10)));
        assertThat(ordinary(at(10) - 1001)).isEqualTo(100);
        assertThat(ordinary(at(10) - 1000)).isEqualTo(70);
        assertThat(rate(at(10) + 999)).isZero();
        assertThat(rate(at(10) + 1000)).isEqualTo(15);
        assertThat(rate(at(10.1) - 1000)).isEqualTo(15);
        assertThat(rate(at(10.1) - 999)).isZero();
        assertThat(ordinary(at(10.1) + 1000)).isEqualTo(70);
        assertThat(ordinary(at(10.1) + 1001)).isEqualTo(100);
        assertThat(ordinary(at(8))).isEqualTo(50); // the clock jumped back to before the set
    }

    @Test
    void rejectsBookingsOfOtherTeamsAndUnknownBookings() {
        startRunning(bookings, "x", "a", 30, 10, 12);
        booked.acceptVersion(bookings.sealedSet(at(10)));
        assertThatThrownBy(() -> booked.rate(at(10.1), "x", "b", 1, HALF)).isInstanceOf(Fault.NotYours.class);
        assertThatThrownBy(() -> booked.rate(at(10.1), "y", "b", 1, HALF)).isInstanceOf(Fault.UnknownBooking.class);
        assertThat(booked.rate(at(10.1), "x", "a", 2, HALF)).isZero();
    }

    @Test
    void ignoresAnOlderSet() {
        SealedBookings older = bookings.sealedSet(at(9));
        startRunning(bookings, "x", "a", 30, 10, 12);
        assertThat(booked.acceptVersion(bookings.sealedSet(at(10)))).isTrue();
        assertThat(booked.acceptVersion(older)).isFalse();
        assertThat(rate(at(10.1))).isEqualTo(15);
    }

    @Test
    void borrowsUnusedCapacityAndReturnsItWithinASecond() {
        startRunning(bookings, "x", "a", 30, 10, 12);
        booked.acceptVersion(bookings.sealedSet(at(10)));
        assertThat(booked.borrowableRate(0, at(10.1), 1, id -> HALF)).isEqualTo(15);
        double now = 500_000;
        booked.recordCalls(now, "x", 1, 3);
        assertThat(booked.borrowableRate(now, at(10.1), 1, id -> HALF)).isEqualTo(9);
        booked.recordCalls(now + 400, "x", 1, 5); // within the same second
        assertThat(booked.borrowableRate(now + 400, at(10.1), 1, id -> HALF)).isZero();
        assertThat(booked.borrowableRate(now + 4999, at(10.1), 1, id -> HALF)).isZero();
        assertThat(booked.borrowableRate(now + 5000, at(10.1), 1, id -> HALF)).isEqualTo(15);
        booked.recordCalls(now, "nobody", 1, 3);
        booked.recordCalls(now, "x", 1, Double.NaN);
    }

    @Test
    void aLowerLocalLimitCutsBookingsInProportion() {
        startRunning(bookings, "x", "a", 30, 10, 12);
        booked.acceptVersion(bookings.sealedSet(at(10)));
        assertThat(booked.ordinaryRate(at(10.1), 1, 40, 0.5)).isEqualTo(20);
        assertThat(rate(at(10.1))).isEqualTo(10);
        assertThat(booked.borrowableRate(0, at(10.1), 1, id -> HALF)).isEqualTo(10);
    }

    @Test
    void setsSurviveARoundTrip() {
        startRunning(bookings, "x", "a", 30, 10, 12);
        bookings.apply(at(10.1), new Operation.Limit(1, 50_000));
        SealedBookings set = bookings.sealedSet(at(10.1));
        assertThat(SealedBookings.read(set.bytes())).isEqualTo(set);
        assertThatThrownBy(() -> SealedBookings.read("{}".getBytes(StandardCharsets.UTF_8)))
                .isInstanceOf(Fault.Unreadable.class);
    }

    @Test
    void fleetStaysWithinTheLimitWhateverSetEachRelayHas() {
        checkFleet(SKEW_MS);
    }

    @Test
    void detectsRelaysThatIgnoreClockError() {
        assertThatThrownBy(() -> checkFleet(0))
                .isInstanceOf(AssertionError.class)
                .hasMessageContaining("within the limit");
    }

    /** Checks relays with sets of different ages and clock errors, while bookings end early and the limit is halved. */
    private static void checkFleet(double assumedSkewMs) {
        for (long seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            double halvedAt = 1 + random.nextDouble() * 4;
            double agreedAt = halvedAt + random.nextDouble() / 2;
            Bookings bookings = BookingFixtures.bookings();
            List<RelayBookings> relays = new ArrayList<>();
            List<Double> clockErrors = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                relays.add(new RelayBookings(assumedSkewMs));
                clockErrors.add((random.nextDouble() * 2 - 1) * SKEW_MS);
            }
            for (int i = 0; i < 8; i++) {
                double start = 1.1 + random.nextDouble();
                bookings.apply(
                        bookings.time(),
                        put("x" + i, "a", 5, 1 + random.nextInt(30), start, start + random.nextDouble() + 0.1));
                bookings.apply(bookings.time(), new Operation.Confirm("x" + i, "a"));
            }
            double[] parts = {0.1, 0.2, 0.3, 0.4};
            double[] bookingParts = {0.7, 0.1, 0.1, 0.1};
            for (double hour = 0.9; hour < 3; hour += 0.02) {
                String id = "x" + random.nextInt(8);
                double limit = hour < halvedAt ? 100 : 50;
                if (hour >= agreedAt) {
                    bookings.apply(at(hour), new Operation.Limit(1, 50_000));
                }
                bookings.apply(
                        at(hour),
                        random.nextInt(6) == 0 ? new Operation.End(id, "a", "done") : new Operation.ShowUp(id, "a"));
                SealedBookings set = bookings.sealedSet(bookings.time());
                double sum = 0;
                for (int i = 0; i < 4; i++) {
                    RelayBookings relay = relays.get(i);
                    if (random.nextInt(5) == 0) {
                        relay.acceptVersion(set);
                    }
                    long wall = at(hour) + Math.round(clockErrors.get(i));
                    sum += parts[i] * relay.ordinaryRate(wall, 1, limit, 0.5);
                    for (Booking b : bookings.all()) {
                        try {
                            sum += relay.rate(wall, b.id(), "a", 1, (int) (bookingParts[i] * Setup.WHOLE));
                        } catch (Fault.UnknownBooking e) {
                            assertThat(relay.covers(wall)).isTrue();
                        }
                    }
                }
                assertThat(sum)
                        .as("seed %d, hour %s: within the limit", seed, hour)
                        .isLessThanOrEqualTo(limit + 1e-6);
            }
        }
    }
}
