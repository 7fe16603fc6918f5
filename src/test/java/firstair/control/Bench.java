package firstair.control;

import firstair.control.Controller.EarlierAttempt;
import firstair.control.Controller.Effect;
import firstair.control.Controller.Entry;
import firstair.control.Controller.Kind;
import firstair.control.Controller.LateCurve;
import firstair.control.Controller.Limits;
import firstair.control.Controller.ListUpdate;
import firstair.control.Controller.Listing;
import firstair.control.Controller.Load;
import firstair.control.Controller.Message;
import firstair.control.Controller.MessageClass;
import firstair.control.Controller.Outcome;
import firstair.control.Controller.Result;
import firstair.control.Controller.Rules;
import firstair.control.Controller.Scope;
import firstair.control.Controller.Settings;
import firstair.control.Controller.Weight;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Drives one {@link Control} with a clock of its own and records its actions. */
final class Bench implements Controller.Actions {
    static final MessageClass SAFE = messageClass(Effect.SAFE, Scope.ALL, false, 10_000, 0);
    static final MessageClass KEYED = messageClass(Effect.KEYED, Scope.ALL, false, 10_000, 5_000);
    static final MessageClass KEYED_ZONE = messageClass(Effect.KEYED, Scope.ZONE, false, 10_000, 5_000);
    static final MessageClass UNSAFE = messageClass(Effect.UNSAFE, Scope.ALL, false, 10_000, 0);
    static final MessageClass ORDERED = messageClass(Effect.SAFE, Scope.ALL, true, 10_000, 0);

    /** An attempt as it was requested. */
    record Sent(double at, long id, int attempt, String endpoint, double timeoutMs, boolean last) {}

    double now = 1_000;
    final List<Sent> sent = new ArrayList<>();
    final List<Sent> inFlight = new ArrayList<>();
    final List<Long> refused = new ArrayList<>();
    final List<Double> refusedAfter = new ArrayList<>();
    final List<Long> givenUp = new ArrayList<>();
    final List<String> closed = new ArrayList<>();
    final List<Double> wakes = new ArrayList<>();
    final List<String> reports = new ArrayList<>();
    int listRequests;
    final Control control;
    private final Map<Long, Integer> attempts = new HashMap<>();
    private long nextId = 1;

    Bench(Settings settings) {
        this(settings, 7);
    }

    Bench(Settings settings, long seed) {
        control = new Control(settings, seed, this);
    }

    static MessageClass messageClass(Effect effect, Scope scope, boolean inOrder, double deadlineMs, double windowMs) {
        return new MessageClass("c", effect, scope, inOrder, false, 2_000, 0, deadlineMs, windowMs, 1, 0.3);
    }

    static Settings settings(MessageClass... classes) {
        return settings(new Kind(false, 1), 16, classes);
    }

    static Settings inGroup(int relays, MessageClass... classes) {
        return settings(relays, new Kind(false, 1), 16, classes);
    }

    static Settings settings(Kind kind, int slots, MessageClass... classes) {
        return settings(2, kind, slots, classes);
    }

    static Settings settings(int relays, Kind kind, int slots, MessageClass... classes) {
        return new Settings(
                relays,
                0,
                0,
                false,
                Weight.NONE,
                true,
                LateCurve.LINEAR,
                List.of(classes),
                List.of(kind),
                new Limits(slots, 100, 12, true, false, false, true, 3_000, false, 1, 1_000, 10_000),
                new Rules(20, 10_000, 1_000, 0.25, 10_000, 1.5, 2_000, 500));
    }

    /** Names active endpoints as {@code destination/zone/number}. */
    Bench endpoints(String... names) {
        List<Entry> list = new ArrayList<>();
        for (String name : names) {
            list.add(entry(name, Listing.ACTIVE));
        }
        control.list(now, ListUpdate.COMPLETE, list);
        return this;
    }

    static Entry entry(String name, Listing listing) {
        String[] parts = name.split("/");
        return new Entry(name, Integer.parseInt(parts[0]), 0, Integer.parseInt(parts[1]), 1, listing);
    }

    long accept(int messageClass, int destination) {
        return accept(messageClass, destination, null, 10_000, false);
    }

    long accept(int messageClass, int destination, String key, double leftMs, boolean fromDeadRelay) {
        long id = nextId++;
        control.accepted(
                now, new Message(id, messageClass, destination, key, now + leftMs, 0, false, fromDeadRelay, List.of()));
        return id;
    }

    /** Submits a message for destination 1 that takes a number of bytes of a shared call. */
    long acceptBytes(int bytes) {
        long id = nextId++;
        control.accepted(now, new Message(id, 0, 1, "k" + id, now + 10_000, 0, false, false, List.of(), bytes));
        return id;
    }

    /** Submits a message for destination 1 that a restarted relay resumes. */
    long resume(int messageClass, double leftMs, EarlierAttempt... earlier) {
        long id = nextId++;
        attempts.put(id, earlier.length);
        control.accepted(now, new Message(id, messageClass, 1, "k", now + leftMs, 0, false, false, List.of(earlier)));
        return id;
    }

    void end(Sent attempt, Result result, double waitMs) {
        end(attempt, result, waitMs, Load.NONE);
    }

    void end(Sent attempt, Result result, double waitMs, Load load) {
        inFlight.remove(attempt);
        control.ended(
                now,
                new Outcome(
                        attempt.id(),
                        attempt.attempt(),
                        attempt.endpoint(),
                        result,
                        now - attempt.at(),
                        result == Result.OK,
                        waitMs,
                        load));
    }

    /** Its connection is open: whether the attempt is written now; otherwise it is withheld. */
    boolean connected(Sent attempt) {
        return permittedTimeout(attempt) > 0;
    }

    /** The same: returns the time-out of the answer in milliseconds, 0 if withheld. */
    double permittedTimeout(Sent attempt) {
        double ms = control.timeoutAtWrite(now, attempt.id(), attempt.attempt());
        if (ms <= 0) {
            end(attempt, Result.WITHHELD, 0);
            attempts.merge(attempt.id(), -1, Integer::sum);
        }
        return ms;
    }

    /** Ends all attempts in flight with the same result. */
    void endAll(Result result, double waitMs) {
        endAll(result, waitMs, Load.NONE);
    }

    void endAll(Result result, double waitMs, Load load) {
        new ArrayList<>(inFlight).forEach(attempt -> end(attempt, result, waitMs, load));
    }

    void decide() {
        control.decide(now);
    }

    /** Advances the clock in small rounds; calls end with {@code result} after {@code callMs}, or time out. */
    void run(double ms, Result result, double callMs) {
        double until = now + ms;
        while (now < until) {
            now += 5;
            control.timer(now);
            for (Sent attempt : new ArrayList<>(inFlight)) {
                if (now - attempt.at() >= attempt.timeoutMs()) {
                    end(attempt, Result.TIMEOUT, 0);
                } else if (now - attempt.at() >= callMs) {
                    end(attempt, result, 0);
                }
            }
            control.decide(now);
        }
    }

    /** Advances the clock while no call is answered. */
    void silence(double ms) {
        run(ms, Result.OK, Double.POSITIVE_INFINITY);
    }

    @Override
    public void send(long id, String endpoint, double timeoutMs, boolean last) {
        Sent attempt = new Sent(now, id, attempts.merge(id, 1, Integer::sum) - 1, endpoint, timeoutMs, last);
        sent.add(attempt);
        inFlight.add(attempt);
    }

    @Override
    public void cancel(long id, int attempt) {
        throw new AssertionError("no call is cancelled");
    }

    @Override
    public void refuse(long id, double afterMs) {
        refused.add(id);
        refusedAfter.add(afterMs);
    }

    @Override
    public void giveUp(long id) {
        givenUp.add(id);
    }

    @Override
    public void closeIdle(String endpoint) {
        closed.add(endpoint);
    }

    @Override
    public void wake(double inMs) {
        wakes.add(now + inMs);
    }

    @Override
    public void watchList() {
        listRequests++;
    }

    @Override
    public void report(String text) {
        reports.add(text);
    }
}
