package firstair.fleet.booking;

import firstair.fleet.fault.Fault;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;

/**
 * State machine of all bookings, replicated through the ledger: the same operations in the same order produce the same
 * bookings on every voter. It reads no clock; each operation carries the leader's time, and time never runs backwards.
 *
 * <p>The total booked rate of a destination never exceeds its bookable capacity at any present or future time. Every
 * booking that starts before the horizon, which is {@code sealBeforeMs} ahead of the current time, is sealed; new
 * grants start after it.
 */
public class Bookings {
    /** Maximum number of waiting requests of a team. */
    static final int MAX_WAITING = 200;

    private static final int MAX_TEAMS = 1000;
    private static final int MAX_DESTINATIONS = 10_000;
    private static final int MAX_REFUSED = 1000; // kept so that they can be queried; the oldest are removed
    private static final int MONTHS_KEPT = 2; // covers the maximum span of 31 days

    private static final Comparator<Booking> WAITING_ORDER = Comparator.comparingInt(
                    (Booking booking) -> booking.request().rank())
            .thenComparingLong(Booking::number);

    /** A span in which capacity may have become available. */
    private record FreedSpan(int destination, long fromMs, long toMs) {}

    private final Supplier<RateTimeline> newTimeline;
    private final SortedMap<String, Team> teams = new TreeMap<>();
    private final SortedMap<Integer, Destination> destinations = new TreeMap<>();
    private final SortedMap<String, Booking> bookings = new TreeMap<>();
    private final TreeMap<Long, SortedSet<String>> idsByDueTime = new TreeMap<>(); // next time-driven transition
    private final TreeMap<Long, String> refusedByNumber = new TreeMap<>(); // ids by booking number
    private final SortedSet<String> idsKnownToRelays = new TreeSet<>(); // ids of bookings that relays receive
    private Rules rules;
    private long time;
    private long horizon; // end of the sealed set sent to relays; never decreases
    private long version;
    private long nextNumber;

    private final List<Change> changes = new ArrayList<>(); // of the current operation
    private final List<FreedSpan> freedSpans = new ArrayList<>(); // by the current operation
    private final SortedSet<String> teamsWithRefund = new TreeSet<>(); // teams that regained quota

    /** Creates an empty set of bookings. */
    public Bookings(Rules rules) {
        this(rules, RateTimeline::new);
    }

    Bookings(Rules rules, Supplier<RateTimeline> newTimeline) {
        this.rules = rules;
        this.newTimeline = newTimeline;
    }

    // ---- queries ----

    /** The rules in force. */
    public Rules rules() {
        return rules;
    }

    /** Time of the last operation, epoch ms. */
    public long time() {
        return time;
    }

    /** Number of operations applied. */
    public long version() {
        return version;
    }

    /** Finds a booking by id; throws {@link Fault.UnknownBooking}. */
    public Booking booking(String id) {
        Booking booking = bookings.get(id);
        if (booking == null) {
            throw new Fault.UnknownBooking(id);
        }
        return booking;
    }

    /** All stored bookings, sorted by id. */
    public Collection<Booking> all() {
        return Collections.unmodifiableCollection(bookings.values());
    }

    /** Rate of a destination still available over a span, thousandths of a call per second; 0 if it is unknown. */
    public long availableRate(int destination, long fromMs, long toMs) {
        Destination d = destinations.get(destination);
        return d == null ? 0 : Math.max(0, d.capacity() - d.timeline.max(Math.max(fromMs, time), toMs));
    }

    /** When the next time-driven transition is due, epoch ms; {@link Long#MAX_VALUE} if there is none. */
    public long nextDueMs() {
        return idsByDueTime.isEmpty() ? Long.MAX_VALUE : idsByDueTime.firstKey();
    }

    /**
     * The set that relays receive: all bookings around the current time and up to the horizon.
     *
     * @param atMs the caller's time; bookings that ended more than {@code sealBeforeMs} before it are omitted
     */
    public SealedBookings sealedSet(long atMs) {
        long from = Math.min(atMs, time) - rules.sealBeforeMs();
        List<SealedBookings.Entry> entries = new ArrayList<>();
        for (String id : idsKnownToRelays) {
            Booking booking = bookings.get(id);
            if (booking.bookedToMs() > from) {
                boolean over = booking.state().isFinal();
                entries.add(new SealedBookings.Entry(
                        id,
                        booking.team(),
                        over ? Rates.copy(Map.of()) : booking.rates(),
                        over || booking.uncutUntilMs() > time
                                ? maxRates(booking.uncutRates(), booking.rates())
                                : booking.rates(),
                        over ? booking.bookedToMs() : booking.uncutUntilMs(),
                        booking.startMs(),
                        booking.bookedToMs()));
            }
        }
        return new SealedBookings(version, from, horizon, entries);
    }

    private static SortedMap<Integer, Long> maxRates(Map<Integer, Long> one, Map<Integer, Long> other) {
        SortedMap<Integer, Long> max = new TreeMap<>(one);
        other.forEach((d, rate) -> max.merge(d, rate, Math::max));
        return Rates.copy(max);
    }

    // ---- operations ----

    /**
     * Performs all time-driven transitions, then the operation. If the operation is rejected, the result carries the
     * fault and nothing else of the operation is done.
     *
     * @param atMs epoch ms; a time before that of the previous operation is replaced by it
     */
    public Result apply(long atMs, Operation operation) {
        changes.clear();
        version++;
        advanceTime(atMs);
        Fault fault = null;
        try {
            execute(operation);
        } catch (Fault f) {
            fault = f;
        }
        advanceTime(time);
        String id = bookingId(operation);
        return new Result(id == null ? null : bookings.get(id), List.copyOf(changes), fault);
    }

    private static String bookingId(Operation operation) {
        if (operation instanceof Operation.Put o) {
            return o.id();
        } else if (operation instanceof Operation.Confirm o) {
            return o.id();
        } else if (operation instanceof Operation.ShowUp o) {
            return o.id();
        } else if (operation instanceof Operation.End o) {
            return o.id();
        } else if (operation instanceof Operation.Extend o) {
            return o.id();
        } else if (operation instanceof Operation.Move o) {
            return o.id();
        } else if (operation instanceof Operation.Drop o) {
            return o.id();
        }
        return null;
    }

    private void execute(Operation operation) {
        if (operation instanceof Operation.Put o) {
            put(o);
        } else if (operation instanceof Operation.Confirm o) {
            confirm(o);
        } else if (operation instanceof Operation.ShowUp o) {
            showUp(o);
        } else if (operation instanceof Operation.End o) {
            end(o);
        } else if (operation instanceof Operation.Extend o) {
            extend(o);
        } else if (operation instanceof Operation.Move o) {
            move(o);
        } else if (operation instanceof Operation.Drop o) {
            drop(o);
        } else if (operation instanceof Operation.Limit o) {
            limit(o);
        } else if (operation instanceof Operation.SetTeam o) {
            setTeam(o);
        } else if (operation instanceof Operation.SetDestination o) {
            setDestination(o);
        } else if (operation instanceof Operation.SetRules o) {
            setRules(o.rules());
        }
    }

    private void put(Operation.Put request) {
        Booking old = bookings.get(request.id());
        if (old != null && !old.request().equals(request)) {
            throw new Fault.BadRequest("id", "another booking has this name");
        }
        if (old != null && old.state() != State.REFUSED) {
            return; // repeated request
        }
        if (!teams.containsKey(request.team())) {
            throw new Fault.BadRequest("team", "no team of this name");
        }
        for (int destination : request.rates().keySet()) {
            if (!destinations.containsKey(destination)) {
                throw new Fault.BadRequest("calls." + destination, "nothing can be booked there");
            }
        }
        if (request.startMs() > time + rules.aheadMs()) {
            throw new Fault.BadRequest("start", "is more than " + rules.aheadMs() + " ms ahead");
        }
        if (old == null && bookings.size() >= rules.maxBookings() && !removeOldestRefused()) {
            throw new Fault.BadRequest("id", rules.maxBookings() + " bookings are kept, there is no room for more");
        }
        Booking booking = Booking.of(request, nextNumber++, time);
        changes.add(new Change(request.id(), null, State.REQUESTED, time, "requested"));
        Fault fault = request.startMs() < time + rules.leadMs()
                ? new Fault.TooLate(request.id(), rules.leadMs())
                : checkTimes(booking);
        if (fault == null) {
            fault = checkCapacity(booking);
        }
        if (fault == null) {
            hold(booking, "there is room");
        } else if (fault instanceof Fault.NoRoom && request.waits() && canWait(booking)) {
            replace(booking);
        } else {
            replace(transitionTo(booking, State.REFUSED, fault.code() + ", " + fault.getMessage()));
            if (refusedByNumber.size() > MAX_REFUSED) {
                removeOldestRefused();
            }
            throw fault;
        }
    }

    /** Waiting only makes sense if the request fits the full capacity. */
    private boolean canWait(Booking booking) {
        return teams.get(booking.team()).waitingIds.size() < MAX_WAITING
                && booking.rates().entrySet().stream()
                        .allMatch(e ->
                                e.getValue() <= destinations.get(e.getKey()).capacity());
    }

    private boolean removeOldestRefused() {
        if (refusedByNumber.isEmpty()) {
            return false;
        }
        remove(bookings.get(refusedByNumber.firstEntry().getValue()));
        return true;
    }

    private void confirm(Operation.Confirm o) {
        Booking booking = requireOwned(o.id(), o.team());
        if (booking.state() != State.CONFIRMED) { // else a repeated request
            replace(transitionTo(booking, State.CONFIRMED, "confirmed by its team"));
        }
    }

    private void showUp(Operation.ShowUp o) {
        Booking booking = requireOwned(o.id(), o.team());
        if (booking.state() != State.RUNNING) {
            throw new Fault.IllegalChange(booking.id(), booking.state().label(), State.RUNNING.label());
        }
        if (!booking.runStarted()) {
            changes.add(new Change(booking.id(), booking.state(), booking.state(), time, "its run has begun"));
            replace(booking.withRunStarted());
        }
    }

    private void end(Operation.End o) {
        Booking booking = requireOwned(o.id(), o.team());
        switch (booking.state()) {
            case SEALED -> throw new Fault.Sealed(booking.id());
            case RUNNING -> close(booking, State.ENDED, "ended early by its team: " + o.reason());
            case ENDED, RELEASED -> {} // repeated request
            default -> close(booking, State.RELEASED, "given up by its team: " + o.reason());
        }
    }

    private void extend(Operation.Extend o) {
        Booking booking = requireOwned(o.id(), o.team());
        boolean held = booking.state() == State.HELD || booking.state() == State.CONFIRMED;
        if (booking.state() == State.SEALED) {
            throw new Fault.Sealed(booking.id());
        }
        if (!held && booking.state() != State.RUNNING) {
            throw new Fault.IllegalChange(booking.id(), booking.state().label(), "longer");
        }
        if (o.endMs() <= booking.endMs()) {
            throw new Fault.BadRequest("end", "has to be after the end so far");
        }
        // relays may have received the current end, which must stay valid
        if (booking.state() == State.RUNNING && withinHorizon(booking.endMs())) {
            throw new Fault.TooLate(booking.id(), rules.sealBeforeMs());
        }
        reschedule(booking, booking.startMs(), o.endMs(), "extended by its team");
    }

    private void move(Operation.Move o) {
        Booking booking = booking(o.id());
        if (booking.state().knownToRelays()) {
            throw new Fault.Sealed(booking.id());
        }
        if (booking.state().isFinal()) {
            throw new Fault.IllegalChange(booking.id(), booking.state().label(), "moved");
        }
        if (o.startMs() > time + rules.aheadMs()) {
            throw new Fault.BadRequest("start", "is more than " + rules.aheadMs() + " ms ahead");
        }
        reschedule(booking, o.startMs(), o.endMs(), "moved by operators: " + o.reason());
    }

    private void reschedule(Booking booking, long startMs, long endMs, String cause) {
        Booking to = booking.withSpan(startMs, endMs, endMs);
        Fault fault = booking.state() == State.RUNNING ? checkSpan(to) : checkTimes(to);
        if (fault == null && booking.holdsCapacity()) {
            updateTimelines(booking, -1); // its own capacity does not count against it
            fault = checkCapacity(to);
            updateTimelines(booking, 1);
        }
        if (fault != null) {
            throw fault;
        }
        changes.add(new Change(booking.id(), booking.state(), booking.state(), time, cause));
        replace(to);
        if (!to.holdsCapacity()) { // the new span may have capacity
            to.rates().keySet().forEach(d -> freedSpans.add(new FreedSpan(d, startMs, endMs)));
        }
    }

    private void drop(Operation.Drop o) {
        Booking booking = booking(o.id());
        if (booking.state().knownToRelays()) {
            throw new Fault.Sealed(booking.id());
        }
        close(
                booking,
                booking.state() == State.REQUESTED ? State.REFUSED : State.RELEASED,
                "dropped by operators: " + o.reason());
    }

    private void limit(Operation.Limit o) {
        Destination destination = destinations.get(o.destination());
        if (destination == null) {
            throw new Fault.BadRequest("destination", "nothing can be booked there");
        }
        destination.limit = o.limit();
        cutToCapacity(destination);
    }

    private void setTeam(Operation.SetTeam o) {
        Team team = teams.get(o.team());
        if (team != null) {
            team.set(o);
        } else if (teams.size() < MAX_TEAMS) {
            teams.put(o.team(), new Team(o));
        } else {
            throw new Fault.BadRequest("team", MAX_TEAMS + " teams at most");
        }
        teamsWithRefund.add(o.team());
    }

    private void setDestination(Operation.SetDestination o) {
        Destination destination = destinations.get(o.destination());
        if (destination != null) {
            destination.set(o);
        } else if (destinations.size() < MAX_DESTINATIONS) {
            destination = new Destination(o, newTimeline.get());
            destinations.put(o.destination(), destination);
        } else {
            throw new Fault.BadRequest("destination", MAX_DESTINATIONS + " destinations at most");
        }
        cutToCapacity(destination);
    }

    private void setRules(Rules to) {
        List<Booking> kept = List.copyOf(bookings.values());
        kept.forEach(booking -> updateTimer(booking, false));
        rules = to;
        kept.forEach(booking -> updateTimer(booking, true));
    }

    /**
     * Handles a change of a destination's capacity. Where it falls below the booked rate, each booking is cut by the
     * ratio of the capacity to the peak booked rate in its remaining span, so all are cut in proportion to their rates.
     */
    private void cutToCapacity(Destination destination) {
        long capacity = destination.capacity();
        SortedMap<String, Long> cutRates = new TreeMap<>();
        for (String id : destination.holdingIds) {
            Booking booking = bookings.get(id);
            long peak = booking.bookedToMs() <= time
                    ? 0
                    : destination.timeline.max(Math.max(booking.startMs(), time), booking.bookedToMs());
            if (peak > capacity) {
                cutRates.put(id, booking.rates().get(destination.number) * capacity / peak);
            }
        }
        cutRates.forEach((id, rate) -> {
            Booking booking = bookings.get(id);
            SortedMap<Integer, Long> rates = new TreeMap<>(booking.rates());
            long oldRate = rates.put(destination.number, rate);
            String cause = "cut at destination " + destination.number + " from " + Rates.toCalls(oldRate) + " to "
                    + Rates.toCalls(rate) + " calls a second: its limit is " + Rates.toCalls(destination.limit);
            boolean knownToRelays = idsKnownToRelays.contains(id); // relays may use the old rates up to the horizon
            if (!booking.state().isFinal()) {
                changes.add(new Change(id, booking.state(), booking.state(), time, cause));
            }
            replace(
                    knownToRelays
                            ? booking.withCut(
                                    Rates.copy(rates),
                                    maxRates(
                                            booking.uncutUntilMs() > time ? booking.uncutRates() : Map.of(),
                                            booking.rates()),
                                    horizon)
                            : booking.withCut(Rates.copy(rates), booking.uncutRates(), booking.uncutUntilMs()));
        });
        freedSpans.add(new FreedSpan(destination.number, time, Long.MAX_VALUE));
    }

    private Booking requireOwned(String id, String team) {
        Booking booking = booking(id);
        if (!booking.team().equals(team)) {
            throw new Fault.NotYours(id, team);
        }
        return booking;
    }

    // ---- rules ----

    /** Whether a time is too near for a grant or a change: relays have received all bookings up to the horizon. */
    boolean withinHorizon(long ms) {
        return ms <= horizon;
    }

    private Fault checkTimes(Booking booking) {
        return withinHorizon(booking.startMs())
                ? new Fault.TooLate(booking.id(), rules.sealBeforeMs())
                : checkSpan(booking);
    }

    private Fault checkSpan(Booking booking) {
        if (booking.endMs() - booking.startMs() > rules.longestMs()) {
            return new Fault.TooLong(booking.id(), rules.longestMs());
        }
        for (int number : booking.rates().keySet()) {
            for (ClosingHours closed : destinations.get(number).closed) {
                long at = closed.firstClosedMs(booking.startMs(), booking.endMs());
                if (at >= 0) {
                    return new Fault.ClosedHours(booking.id(), number, Json.timestamp(at));
                }
            }
        }
        return null;
    }

    /** Checks the team's quota and the capacity of each destination; returns the fault, or null if both suffice. */
    private Fault checkCapacity(Booking booking) {
        Team team = teams.get(booking.team());
        int month = team.firstMonthOverQuota(
                team.cost(booking.rates(), booking.startMs(), booking.endMs()), booking.charged());
        if (month >= 0) {
            String left = Rates.toCalls(Math.max(0, team.remaining(month))).toPlainString();
            return new Fault.TeamQuota(booking.team(), Team.monthText(month), left);
        }
        for (Map.Entry<Integer, Long> e : booking.rates().entrySet()) {
            Destination destination = destinations.get(e.getKey());
            long left = destination.capacity()
                    - destination.timeline.max(Math.max(booking.startMs(), time), booking.endMs());
            if (e.getValue() > left) {
                return new Fault.NoRoom(
                        booking.id(), destination.number, Rates.toCalls(Math.max(0, left)) + " calls a second");
            }
        }
        return null;
    }

    private void hold(Booking booking, String cause) {
        long confirmByMs = Math.min(time + rules.holdMs(), booking.startMs() - rules.sealBeforeMs());
        replace(transitionTo(booking.withConfirmBy(confirmByMs), State.HELD, cause));
    }

    // ---- time ----

    private void advanceTime(long atMs) {
        int month = Team.month(time, ZoneOffset.UTC);
        time = Math.max(time, Math.min(atMs, Operation.MAX_TIME_MS));
        horizon = Math.max(horizon, time + rules.sealBeforeMs());
        while (!idsByDueTime.isEmpty() && idsByDueTime.firstKey() <= time) {
            onDue(bookings.get(idsByDueTime.firstEntry().getValue().first()));
        }
        offerFreed();
        int now = Team.month(time, ZoneOffset.UTC);
        if (now != month) {
            teams.values().forEach(t -> t.removeMonthsBefore(now - MONTHS_KEPT));
            idsKnownToRelays.removeIf(id -> bookings.get(id).bookedToMs() <= time - Rules.MAX_SPAN_MS);
        }
    }

    private long dueMs(Booking booking) {
        return switch (booking.state()) {
            case REQUESTED, CONFIRMED -> booking.startMs() - rules.sealBeforeMs();
            case HELD -> Math.min(booking.confirmByMs(), booking.startMs() - rules.sealBeforeMs());
            case SEALED -> booking.startMs();
            case RUNNING ->
                booking.runStarted()
                        ? booking.endMs()
                        : Math.min(booking.endMs(), booking.startMs() + rules.showUpMs());
            case ENDED, RELEASED, LAPSED, REFUSED ->
                Math.max(booking.sinceMs() + rules.forgetMs(), booking.holdsCapacity() ? booking.bookedToMs() : 0);
        };
    }

    private void onDue(Booking booking) {
        switch (booking.state()) {
            case REQUESTED -> close(booking, State.LAPSED, "there was no room until its start was too near");
            case HELD -> close(booking, State.LAPSED, "not confirmed in time");
            case CONFIRMED -> replace(transitionTo(booking, State.SEALED, "its start is near"));
            case SEALED -> replace(transitionTo(booking, State.RUNNING, "its start has come"));
            case RUNNING -> {
                if (booking.runStarted()) {
                    close(booking, State.ENDED, "its end has come");
                } else {
                    close(booking, State.RELEASED, "nobody showed up in time");
                }
            }
            case ENDED, RELEASED, LAPSED, REFUSED -> remove(booking);
            default -> throw new IllegalStateException(booking.state().name());
        }
    }

    /** Offers freed capacity and quota to waiting requests, by rank, then by age. */
    private void offerFreed() {
        if (freedSpans.isEmpty() && teamsWithRefund.isEmpty()) {
            return;
        }
        SortedSet<Booking> waiting = new TreeSet<>(WAITING_ORDER);
        for (FreedSpan span : freedSpans) {
            for (String id :
                    destinations.get(span.destination).waitingBetween(span.fromMs - Rules.MAX_SPAN_MS, span.toMs)) {
                waiting.add(bookings.get(id));
            }
        }
        teamsWithRefund.forEach(t -> teams.get(t).waitingIds.forEach(id -> waiting.add(bookings.get(id))));
        freedSpans.clear();
        teamsWithRefund.clear();
        for (Booking booking : waiting) {
            if (checkTimes(booking) == null && checkCapacity(booking) == null) {
                hold(booking, "offered from the waiting list");
            }
        }
    }

    // ---- indexes ----

    /** Moves a booking to a final state and frees its remaining capacity that no relay may still use. */
    private void close(Booking booking, State to, String cause) {
        long bookedTo = booking.state() == State.RUNNING ? Math.min(booking.bookedToMs(), horizon) : booking.startMs();
        replace(transitionTo(booking, to, cause).withSpan(booking.startMs(), booking.endMs(), bookedTo));
    }

    private Booking transitionTo(Booking booking, State to, String cause) {
        if (!booking.state().canBecome(to)) {
            throw new Fault.IllegalChange(booking.id(), booking.state().label(), to.label());
        }
        changes.add(new Change(booking.id(), booking.state(), to, time, cause));
        return booking.withState(to, time, cause);
    }

    private Booking withCharge(Booking booking) {
        Team team = teams.get(booking.team());
        SortedMap<Integer, Long> cost = booking.holdsCapacity()
                ? team.cost(booking.rates(), booking.startMs(), booking.bookedToMs())
                : Rates.copy(Map.of());
        team.charge(booking.charged(), -1);
        team.charge(cost, 1);
        return booking.withCharged(Rates.copy(cost));
    }

    /** Stores a new version of a booking and updates all indexes. */
    private void replace(Booking booking) {
        Booking old = bookings.get(booking.id());
        if (old != null) {
            unindex(old);
        }
        boolean same = old != null
                && old.holdsCapacity()
                && booking.holdsCapacity()
                && old.startMs() == booking.startMs()
                && old.bookedToMs() == booking.bookedToMs()
                && old.rates().equals(booking.rates());
        if (!same && old != null && old.holdsCapacity()) {
            old.rates()
                    .keySet()
                    .forEach(d -> freedSpans.add(new FreedSpan(d, Math.max(old.startMs(), time), old.bookedToMs())));
            teamsWithRefund.add(old.team());
        }
        index(same ? booking : withCharge(booking));
    }

    private void remove(Booking booking) {
        unindex(booking);
        bookings.remove(booking.id());
        idsKnownToRelays.remove(booking.id());
    }

    private void unindex(Booking booking) {
        updateTimer(booking, false);
        updateTimelines(booking, -1);
        if (booking.state() == State.REQUESTED) {
            teams.get(booking.team()).waitingIds.remove(booking.id());
            booking.rates().keySet().forEach(d -> destinations.get(d).removeWaiting(booking.startMs(), booking.id()));
        } else if (booking.state() == State.REFUSED) {
            refusedByNumber.remove(booking.number());
        }
    }

    private void index(Booking booking) {
        bookings.put(booking.id(), booking);
        updateTimer(booking, true);
        updateTimelines(booking, 1);
        if (booking.state() == State.REQUESTED) {
            teams.get(booking.team()).waitingIds.add(booking.id());
            booking.rates().keySet().forEach(d -> destinations.get(d).addWaiting(booking.startMs(), booking.id()));
        } else if (booking.state() == State.REFUSED) {
            refusedByNumber.put(booking.number(), booking.id());
        } else if (booking.state().knownToRelays()) {
            idsKnownToRelays.add(booking.id());
        }
    }

    private void updateTimer(Booking booking, boolean on) {
        long at = dueMs(booking);
        if (on) {
            idsByDueTime.computeIfAbsent(at, k -> new TreeSet<>()).add(booking.id());
            return;
        }
        SortedSet<String> ids = idsByDueTime.get(at);
        if (ids != null && ids.remove(booking.id()) && ids.isEmpty()) {
            idsByDueTime.remove(at);
        }
    }

    private void updateTimelines(Booking booking, int sign) {
        if (!booking.holdsCapacity()) {
            return;
        }
        booking.rates().forEach((number, rate) -> {
            Destination destination = destinations.get(number);
            destination.timeline.add(booking.startMs(), booking.bookedToMs(), sign * rate);
            if (sign > 0) {
                destination.holdingIds.add(booking.id());
            } else {
                destination.holdingIds.remove(booking.id());
            }
        });
    }

    // ---- snapshot ----

    /** Snapshot of the state, identical for equal states. */
    public byte[] snapshot() {
        return new Snapshot(rules, time, horizon, version, nextNumber, teams, destinations, bookings).bytes();
    }

    /** Restores a {@link #snapshot}; throws {@link Fault.UnknownEntry} and {@link Fault.TornLedger}. */
    public static Bookings restore(byte[] bytes) {
        Snapshot s = Snapshot.read(bytes);
        Bookings all = new Bookings(s.rules());
        all.time = s.time();
        all.horizon = s.horizon();
        all.version = s.version();
        all.nextNumber = s.nextNumber();
        all.teams.putAll(s.teams());
        all.destinations.putAll(s.destinations());
        for (Booking booking : s.bookings().values()) {
            all.index(booking);
            if (booking.state().isFinal() && booking.holdsCapacity()) {
                all.idsKnownToRelays.add(booking.id());
            }
        }
        return all;
    }
}
