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
 * All bookings, as the ledger agrees on them: the same operations in the same order make the same bookings on every
 * voter. It has no clock; each operation brings the leader's time, which never goes back here.
 *
 * <p>What is booked at a destination never passes its bookable part at any moment to come. Everything that starts
 * before the horizon, which is {@code sealBeforeMs} ahead of the time, is sealed; what is granted starts after it.
 */
public class Bookings {
    /** Requests of one team that wait at a time. */
    static final int MOST_WAITING = 200;

    private static final int MOST_TEAMS = 1000;
    private static final int MOST_DESTINATIONS = 10_000;
    private static final int MOST_REFUSED = 1000; // kept to be asked for; the oldest go
    private static final int MONTHS_KEPT = 2; // longest span and a bit

    private static final Comparator<Booking> NEXT_IN_LINE =
            Comparator.comparingInt((Booking b) -> b.request().rank()).thenComparingLong(Booking::number);

    /** A span in which there may be room again. */
    private record Freed(int destination, long fromMs, long toMs) {}

    private final Supplier<Steps> steps;
    private final SortedMap<String, Team> teams = new TreeMap<>();
    private final SortedMap<Integer, Destination> destinations = new TreeMap<>();
    private final SortedMap<String, Booking> bookings = new TreeMap<>();
    private final TreeMap<Long, SortedSet<String>> timers = new TreeMap<>(); // when something becomes of whom by itself
    private final TreeMap<Long, String> refused = new TreeMap<>(); // by number
    private final SortedSet<String> told = new TreeSet<>(); // whom relays are told of
    private Rules rules;
    private long time;
    private long horizon; // the furthest that relays were told of; never goes back
    private long version;
    private long nextNumber;

    private final List<Change> changes = new ArrayList<>(); // of the operation under way
    private final List<Freed> freed = new ArrayList<>(); // by it
    private final SortedSet<String> eased = new TreeSet<>(); // teams that got quota back by it

    /** None yet. */
    public Bookings(Rules rules) {
        this(rules, Steps::new);
    }

    Bookings(Rules rules, Supplier<Steps> steps) {
        this.rules = rules;
        this.steps = steps;
    }

    // ---- questions ----

    /** The rules in force. */
    public Rules rules() {
        return rules;
    }

    /** The time of the last operation, epoch ms. */
    public long time() {
        return time;
    }

    /** How many operations there were. */
    public long version() {
        return version;
    }

    /** One by its name; raises {@link Fault.UnknownBooking}. */
    public Booking booking(String id) {
        Booking b = bookings.get(id);
        if (b == null) {
            throw new Fault.UnknownBooking(id);
        }
        return b;
    }

    /** All that are not forgotten, by name. */
    public Collection<Booking> all() {
        return Collections.unmodifiableCollection(bookings.values());
    }

    /** What can still be booked of a destination over a span, thousandths of a call a second; 0 if it is unknown. */
    public long left(int destination, long fromMs, long toMs) {
        Destination d = destinations.get(destination);
        return d == null ? 0 : Math.max(0, d.capacity() - d.steps.most(Math.max(fromMs, time), toMs));
    }

    /** When time alone changes something next, epoch ms; {@link Long#MAX_VALUE} if never. */
    public long nextMs() {
        return timers.isEmpty() ? Long.MAX_VALUE : timers.firstKey();
    }

    /**
     * What relays are told: all that is booked around now and up to the horizon.
     *
     * @param atMs the asker's time; what was over long before it is left out
     */
    public Sealed sealedSet(long atMs) {
        long from = Math.min(atMs, time) - rules.sealBeforeMs();
        List<Sealed.Entry> entries = new ArrayList<>();
        for (String id : told) {
            Booking b = bookings.get(id);
            if (b.bookedToMs() > from) {
                boolean over = b.state().over();
                entries.add(new Sealed.Entry(
                        id,
                        b.team(),
                        over ? Rates.copy(Map.of()) : b.rates(),
                        over || b.beforeToMs() > time ? most(b.before(), b.rates()) : b.rates(),
                        over ? b.bookedToMs() : b.beforeToMs(),
                        b.startMs(),
                        b.bookedToMs()));
            }
        }
        return new Sealed(version, from, horizon, entries);
    }

    private static SortedMap<Integer, Long> most(Map<Integer, Long> one, Map<Integer, Long> other) {
        SortedMap<Integer, Long> most = new TreeMap<>(one);
        other.forEach((d, rate) -> most.merge(d, rate, Math::max));
        return Rates.copy(most);
    }

    // ---- operations ----

    /**
     * Carries out an operation, after all that time alone has brought. If it cannot be carried out, its fault is in
     * the result and nothing else of it is done.
     *
     * @param atMs epoch ms; earlier than the operation before counts as the same moment
     */
    public Result apply(long atMs, Operation operation) {
        changes.clear();
        version++;
        pass(atMs);
        Fault fault = null;
        try {
            act(operation);
        } catch (Fault f) {
            fault = f;
        }
        pass(time);
        String id = idOf(operation);
        return new Result(id == null ? null : bookings.get(id), List.copyOf(changes), fault);
    }

    private static String idOf(Operation operation) {
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

    private void act(Operation operation) {
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

    private void put(Operation.Put p) {
        Booking old = bookings.get(p.id());
        if (old != null && !old.request().equals(p)) {
            throw new Fault.BadRequest("id", "another booking has this name");
        }
        if (old != null && old.state() != State.REFUSED) {
            return; // the same once more
        }
        if (!teams.containsKey(p.team())) {
            throw new Fault.BadRequest("team", "no team of this name");
        }
        for (int d : p.rates().keySet()) {
            if (!destinations.containsKey(d)) {
                throw new Fault.BadRequest("calls." + d, "nothing can be booked there");
            }
        }
        if (p.startMs() > time + rules.aheadMs()) {
            throw new Fault.BadRequest("start", "is more than " + rules.aheadMs() + " ms ahead");
        }
        if (old == null && bookings.size() >= rules.most() && !forgetRefused()) {
            throw new Fault.BadRequest("id", rules.most() + " bookings are kept, there is no room for more");
        }
        Booking b = Booking.of(p, nextNumber++, time);
        changes.add(new Change(p.id(), null, State.REQUESTED, time, "requested"));
        Fault why = p.startMs() < time + rules.leadMs() ? new Fault.TooLate(p.id(), rules.leadMs()) : barred(b);
        if (why == null) {
            why = lacking(b);
        }
        if (why == null) {
            hold(b, "there is room");
        } else if (why instanceof Fault.NoRoom && p.waits() && mayWait(b)) {
            set(b);
        } else {
            set(changed(b, State.REFUSED, why.code() + ", " + why.getMessage()));
            if (refused.size() > MOST_REFUSED) {
                forgetRefused();
            }
            throw why;
        }
    }

    /** Room can only come if the whole capacity is enough. */
    private boolean mayWait(Booking b) {
        return teams.get(b.team()).waiting.size() < MOST_WAITING
                && b.rates().entrySet().stream()
                        .allMatch(e ->
                                e.getValue() <= destinations.get(e.getKey()).capacity());
    }

    private boolean forgetRefused() {
        if (refused.isEmpty()) {
            return false;
        }
        forget(bookings.get(refused.firstEntry().getValue()));
        return true;
    }

    private void confirm(Operation.Confirm o) {
        Booking b = own(o.id(), o.team());
        if (b.state() != State.CONFIRMED) { // the same once more
            set(changed(b, State.CONFIRMED, "confirmed by its team"));
        }
    }

    private void showUp(Operation.ShowUp o) {
        Booking b = own(o.id(), o.team());
        if (b.state() != State.RUNNING) {
            throw new Fault.IllegalChange(b.id(), b.state().word(), State.RUNNING.word());
        }
        if (!b.shown()) {
            changes.add(new Change(b.id(), b.state(), b.state(), time, "its run has begun"));
            set(b.begun());
        }
    }

    private void end(Operation.End o) {
        Booking b = own(o.id(), o.team());
        switch (b.state()) {
            case SEALED -> throw new Fault.Sealed(b.id());
            case RUNNING -> close(b, State.ENDED, "ended early by its team: " + o.reason());
            case ENDED, RELEASED -> {} // the same once more
            default -> close(b, State.RELEASED, "given up by its team: " + o.reason());
        }
    }

    private void extend(Operation.Extend o) {
        Booking b = own(o.id(), o.team());
        boolean held = b.state() == State.HELD || b.state() == State.CONFIRMED;
        if (b.state() == State.SEALED) {
            throw new Fault.Sealed(b.id());
        }
        if (!held && b.state() != State.RUNNING) {
            throw new Fault.IllegalChange(b.id(), b.state().word(), "longer");
        }
        if (o.endMs() <= b.endMs()) {
            throw new Fault.BadRequest("end", "has to be after the end so far");
        }
        // relays may have been told that it ends: what they know must stay true
        if (b.state() == State.RUNNING && tooNear(b.endMs())) {
            throw new Fault.TooLate(b.id(), rules.sealBeforeMs());
        }
        respan(b, b.startMs(), o.endMs(), "extended by its team");
    }

    private void move(Operation.Move o) {
        Booking b = booking(o.id());
        if (b.state().told()) {
            throw new Fault.Sealed(b.id());
        }
        if (b.state().over()) {
            throw new Fault.IllegalChange(b.id(), b.state().word(), "moved");
        }
        if (o.startMs() > time + rules.aheadMs()) {
            throw new Fault.BadRequest("start", "is more than " + rules.aheadMs() + " ms ahead");
        }
        respan(b, o.startMs(), o.endMs(), "moved by operators: " + o.reason());
    }

    private void respan(Booking b, long startMs, long endMs, String why) {
        Booking to = b.spanning(startMs, endMs, endMs);
        Fault fault = b.state() == State.RUNNING ? barredSpan(to) : barred(to);
        if (fault == null && b.holds()) {
            count(b, -1); // it is not in its own way
            fault = lacking(to);
            count(b, 1);
        }
        if (fault != null) {
            throw fault;
        }
        changes.add(new Change(b.id(), b.state(), b.state(), time, why));
        set(to);
        if (!to.holds()) {
            to.rates().keySet().forEach(d -> freed.add(new Freed(d, startMs, endMs))); // there may be room here
        }
    }

    private void drop(Operation.Drop o) {
        Booking b = booking(o.id());
        if (b.state().told()) {
            throw new Fault.Sealed(b.id());
        }
        close(b, b.state() == State.REQUESTED ? State.REFUSED : State.RELEASED, "dropped by operators: " + o.reason());
    }

    private void limit(Operation.Limit o) {
        Destination d = destinations.get(o.destination());
        if (d == null) {
            throw new Fault.BadRequest("destination", "nothing can be booked there");
        }
        d.limit = o.limit();
        refit(d);
    }

    private void setTeam(Operation.SetTeam o) {
        Team team = teams.get(o.team());
        if (team != null) {
            team.set(o);
        } else if (teams.size() < MOST_TEAMS) {
            teams.put(o.team(), new Team(o));
        } else {
            throw new Fault.BadRequest("team", MOST_TEAMS + " teams at most");
        }
        eased.add(o.team());
    }

    private void setDestination(Operation.SetDestination o) {
        Destination d = destinations.get(o.destination());
        if (d != null) {
            d.set(o);
        } else if (destinations.size() < MOST_DESTINATIONS) {
            d = new Destination(o, steps.get());
            destinations.put(o.destination(), d);
        } else {
            throw new Fault.BadRequest("destination", MOST_DESTINATIONS + " destinations at most");
        }
        refit(d);
    }

    private void setRules(Rules to) {
        List<Booking> kept = List.copyOf(bookings.values());
        kept.forEach(b -> timer(b, false));
        rules = to;
        kept.forEach(b -> timer(b, true));
    }

    /**
     * What can be booked of a destination has changed. Where that is less than what is booked, each booking there gets
     * the share that fits in the fullest moment that it still has: all in proportion to what they have.
     */
    private void refit(Destination d) {
        long capacity = d.capacity();
        SortedMap<String, Long> less = new TreeMap<>();
        for (String id : d.holding) {
            Booking b = bookings.get(id);
            long most = b.bookedToMs() <= time ? 0 : d.steps.most(Math.max(b.startMs(), time), b.bookedToMs());
            if (most > capacity) {
                less.put(id, b.rates().get(d.number) * capacity / most);
            }
        }
        less.forEach((id, rate) -> {
            Booking b = bookings.get(id);
            SortedMap<Integer, Long> rates = new TreeMap<>(b.rates());
            long before = rates.put(d.number, rate);
            String why = "cut at destination " + d.number + " from " + Rates.calls(before) + " to " + Rates.calls(rate)
                    + " calls a second: its limit is " + Rates.calls(d.limit);
            boolean known = told.contains(id); // relays may go by the old rates up to the horizon
            if (!b.state().over()) {
                changes.add(new Change(id, b.state(), b.state(), time, why));
            }
            set(
                    known
                            ? b.cut(
                                    Rates.copy(rates),
                                    most(b.beforeToMs() > time ? b.before() : Map.of(), b.rates()),
                                    horizon)
                            : b.cut(Rates.copy(rates), b.before(), b.beforeToMs()));
        });
        freed.add(new Freed(d.number, time, Long.MAX_VALUE));
    }

    private Booking own(String id, String team) {
        Booking b = booking(id);
        if (!b.team().equals(team)) {
            throw new Fault.NotYours(id, team);
        }
        return b;
    }

    // ---- rules ----

    /** Whether it is too near to be granted or changed; relays were told what there is until then. */
    boolean tooNear(long ms) {
        return ms <= horizon;
    }

    private Fault barred(Booking b) {
        return tooNear(b.startMs()) ? new Fault.TooLate(b.id(), rules.sealBeforeMs()) : barredSpan(b);
    }

    private Fault barredSpan(Booking b) {
        if (b.endMs() - b.startMs() > rules.longestMs()) {
            return new Fault.TooLong(b.id(), rules.longestMs());
        }
        for (int number : b.rates().keySet()) {
            for (Closed hours : destinations.get(number).closed) {
                long at = hours.firstIn(b.startMs(), b.endMs());
                if (at >= 0) {
                    return new Fault.ClosedHours(b.id(), number, Json.time(at));
                }
            }
        }
        return null;
    }

    /** What keeps it from being held: the quota of its team, or room at any of its destinations. */
    private Fault lacking(Booking b) {
        Team team = teams.get(b.team());
        int month = team.lacking(team.cost(b.rates(), b.startMs(), b.endMs()), b.charged());
        if (month >= 0) {
            String left = Rates.calls(Math.max(0, team.left(month))).toPlainString();
            return new Fault.TeamQuota(b.team(), Team.named(month), left);
        }
        for (Map.Entry<Integer, Long> e : b.rates().entrySet()) {
            Destination d = destinations.get(e.getKey());
            long left = d.capacity() - d.steps.most(Math.max(b.startMs(), time), b.endMs());
            if (e.getValue() > left) {
                return new Fault.NoRoom(b.id(), d.number, Rates.calls(Math.max(0, left)) + " calls a second");
            }
        }
        return null;
    }

    private void hold(Booking b, String why) {
        long to = Math.min(time + rules.holdMs(), b.startMs() - rules.sealBeforeMs());
        set(changed(b.heldTo(to), State.HELD, why));
    }

    // ---- time ----

    private void pass(long atMs) {
        int month = Team.month(time, ZoneOffset.UTC);
        time = Math.max(time, Math.min(atMs, Operation.MOST_MS));
        horizon = Math.max(horizon, time + rules.sealBeforeMs());
        while (!timers.isEmpty() && timers.firstKey() <= time) {
            due(bookings.get(timers.firstEntry().getValue().first()));
        }
        offer();
        int now = Team.month(time, ZoneOffset.UTC);
        if (now != month) {
            teams.values().forEach(t -> t.forgetBefore(now - MONTHS_KEPT));
            told.removeIf(id -> bookings.get(id).bookedToMs() <= time - Rules.MOST_SPAN_MS);
        }
    }

    private long dueMs(Booking b) {
        return switch (b.state()) {
            case REQUESTED, CONFIRMED -> b.startMs() - rules.sealBeforeMs();
            case HELD -> Math.min(b.holdToMs(), b.startMs() - rules.sealBeforeMs());
            case SEALED -> b.startMs();
            case RUNNING -> b.shown() ? b.endMs() : Math.min(b.endMs(), b.startMs() + rules.showUpMs());
            case ENDED, RELEASED, LAPSED, REFUSED ->
                Math.max(b.sinceMs() + rules.forgetMs(), b.holds() ? b.bookedToMs() : 0);
        };
    }

    private void due(Booking b) {
        switch (b.state()) {
            case REQUESTED -> close(b, State.LAPSED, "there was no room until its start was too near");
            case HELD -> close(b, State.LAPSED, "not confirmed in time");
            case CONFIRMED -> set(changed(b, State.SEALED, "its start is near"));
            case SEALED -> set(changed(b, State.RUNNING, "its start has come"));
            case RUNNING -> {
                if (b.shown()) {
                    close(b, State.ENDED, "its end has come");
                } else {
                    close(b, State.RELEASED, "nobody showed up in time");
                }
            }
            case ENDED, RELEASED, LAPSED, REFUSED -> forget(b);
            default -> throw new IllegalStateException(b.state().name());
        }
    }

    /** Offers what was freed to those next in line: by rank, then by age. */
    private void offer() {
        if (freed.isEmpty() && eased.isEmpty()) {
            return;
        }
        SortedSet<Booking> line = new TreeSet<>(NEXT_IN_LINE);
        for (Freed f : freed) {
            for (String id : destinations.get(f.destination).waiting(f.fromMs - Rules.MOST_SPAN_MS, f.toMs)) {
                line.add(bookings.get(id));
            }
        }
        eased.forEach(t -> teams.get(t).waiting.forEach(id -> line.add(bookings.get(id))));
        freed.clear();
        eased.clear();
        for (Booking b : line) {
            if (barred(b) == null && lacking(b) == null) {
                hold(b, "offered from the waiting list");
            }
        }
    }

    // ---- bookkeeping ----

    /** It is over; what it does not need any more is free, as far as no relay goes by it. */
    private void close(Booking b, State to, String why) {
        long bookedTo = b.state() == State.RUNNING ? Math.min(b.bookedToMs(), horizon) : b.startMs();
        set(changed(b, to, why).spanning(b.startMs(), b.endMs(), bookedTo));
    }

    private Booking changed(Booking b, State to, String why) {
        if (!b.state().may(to)) {
            throw new Fault.IllegalChange(b.id(), b.state().word(), to.word());
        }
        changes.add(new Change(b.id(), b.state(), to, time, why));
        return b.become(to, time, why);
    }

    private Booking charged(Booking b) {
        Team team = teams.get(b.team());
        SortedMap<Integer, Long> cost =
                b.holds() ? team.cost(b.rates(), b.startMs(), b.bookedToMs()) : Rates.copy(Map.of());
        team.charge(b.charged(), -1);
        team.charge(cost, 1);
        return b.charging(Rates.copy(cost));
    }

    /** Puts a booking in the place of what it was. */
    private void set(Booking b) {
        Booking old = bookings.get(b.id());
        if (old != null) {
            detach(old);
        }
        boolean same = old != null
                && old.holds()
                && b.holds()
                && old.startMs() == b.startMs()
                && old.bookedToMs() == b.bookedToMs()
                && old.rates().equals(b.rates());
        if (!same && old != null && old.holds()) {
            old.rates().keySet().forEach(d -> freed.add(new Freed(d, Math.max(old.startMs(), time), old.bookedToMs())));
            eased.add(old.team());
        }
        attach(same ? b : charged(b));
    }

    private void forget(Booking b) {
        detach(b);
        bookings.remove(b.id());
        told.remove(b.id());
    }

    private void detach(Booking b) {
        timer(b, false);
        count(b, -1);
        if (b.state() == State.REQUESTED) {
            teams.get(b.team()).waiting.remove(b.id());
            b.rates().keySet().forEach(d -> destinations.get(d).waitsNoMore(b.startMs(), b.id()));
        } else if (b.state() == State.REFUSED) {
            refused.remove(b.number());
        }
    }

    private void attach(Booking b) {
        bookings.put(b.id(), b);
        timer(b, true);
        count(b, 1);
        if (b.state() == State.REQUESTED) {
            teams.get(b.team()).waiting.add(b.id());
            b.rates().keySet().forEach(d -> destinations.get(d).waits(b.startMs(), b.id()));
        } else if (b.state() == State.REFUSED) {
            refused.put(b.number(), b.id());
        } else if (b.state().told()) {
            told.add(b.id());
        }
    }

    private void timer(Booking b, boolean on) {
        long at = dueMs(b);
        if (on) {
            timers.computeIfAbsent(at, k -> new TreeSet<>()).add(b.id());
            return;
        }
        SortedSet<String> ids = timers.get(at);
        if (ids != null && ids.remove(b.id()) && ids.isEmpty()) {
            timers.remove(at);
        }
    }

    private void count(Booking b, int sign) {
        if (!b.holds()) {
            return;
        }
        b.rates().forEach((number, rate) -> {
            Destination d = destinations.get(number);
            d.steps.add(b.startMs(), b.bookedToMs(), sign * rate);
            if (sign > 0) {
                d.holding.add(b.id());
            } else {
                d.holding.remove(b.id());
            }
        });
    }

    // ---- snapshot ----

    /** All of it as bytes, the same for the same state. */
    public byte[] snapshot() {
        return new Snapshot(rules, time, horizon, version, nextNumber, teams, destinations, bookings).bytes();
    }

    /** Reads {@link #snapshot}; raises {@link Fault.UnknownEntry} and {@link Fault.TornLedger}. */
    public static Bookings restore(byte[] bytes) {
        Snapshot s = Snapshot.read(bytes);
        Bookings all = new Bookings(s.rules());
        all.time = s.time();
        all.horizon = s.horizon();
        all.version = s.version();
        all.nextNumber = s.nextNumber();
        all.teams.putAll(s.teams());
        all.destinations.putAll(s.destinations());
        for (Booking b : s.bookings().values()) {
            all.attach(b);
            if (b.state().over() && b.holds()) {
                all.told.add(b.id());
            }
        }
        return all;
    }
}
