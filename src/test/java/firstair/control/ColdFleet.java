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
import firstair.control.Controller.Outcome;
import firstair.control.Controller.Result;
import firstair.control.Controller.Rules;
import firstair.control.Controller.Scope;
import firstair.control.Controller.Settings;
import firstair.control.Controller.Weight;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Simulates one destination that fails and returns in slow start, and all relays that call it. Each relay has a
 * controller and a seed of its own, and they do not communicate. From the return on, all calls that reach the
 * destination are counted against what the settings permit then. Too many of them do not make it fail again.
 */
final class ColdFleet {
    static final Rules RULES = new Rules(20, 10_000, 1_000, 0.25, 10_000, 1.5, 2_000, 500);
    private static final double LOAD = 0.7; // of the limit, over all relays
    private static final double OUTAGE_START_MS = 15_000; // when the destination fails; demand is known by then
    private static final double OBSERVED_MS = 20_000; // after the return
    private static final double LATENCY_MS = 5; // one way
    private static final double RESTART_MS = 1_600; // a relay that restarts accepts nothing for so long
    private static final double DEADLINE_MS = 10_000;
    private static final double BURST_SHARE = 0.15; // share of messages that arrive in bursts
    private static final double BURST_S = 2; // size of a burst, in seconds of the limit
    private static final double EXTRA_MESSAGE_WEIGHT = 0.25; // of each further message in a call, in calls
    private static final int MAX_RESUBMISSIONS = 2; // of one refused message

    /** How calls fail while the destination is down; SHUT_TOLD names the wait until its return. */
    enum Outage {
        REFUSED,
        RESET,
        SILENT,
        ERRORS,
        SHUT,
        SHUT_TOLD
    }

    /**
     * What is simulated.
     *
     * @param limit     calls a second that the destination takes from all relays when it is warm
     * @param skewed    a tenth of the relays receives half of the messages
     * @param restarted share of the relays that restart around the return and have no memory of the outage
     */
    record Scenario(
            int relays,
            double limit,
            int endpoints,
            boolean skewed,
            Outage outage,
            double outageMs,
            int messagesPerCall,
            double restarted) {}

    /**
     * Result of a run.
     *
     * @param worst      calls in the worst window, in parts of the bound: 1 is at it
     * @param notified   the same for calls of relays that saw the outage
     * @param overBudget whether a window was over the bound, with over two thirds of its calls from such relays
     * @param delivered  share of the messages
     * @param budgetUsed share of the calls permitted in slow start, or of the load where that is less
     */
    record Totals(
            double worst,
            double notified,
            boolean overBudget,
            double delivered,
            double meanLatenessMs,
            double budgetUsed) {}

    private record Event(double at, long sequence, Runnable action, Relay relay) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Double.compare(at, other.at) : Long.compare(sequence, other.sequence);
        }
    }

    private record Arrival(double at, double weight, boolean notified) {}

    private static final class ModelMessage {
        long id;
        double submittedAt;
        double deadlineAt;
        int resubmissions;
        boolean done;
        Relay relay;
        final List<EarlierAttempt> tried = new ArrayList<>();
    }

    private static final class Call {
        String endpoint;
        double at;
        int messages;
        Result result;
        double endsAt;
        double waitMs;
        boolean duringOutage;
        Arrival arrival;
    }

    private final class Relay implements Controller.Actions {
        final int index;
        final Random seedSource;
        final double share;
        Control control;
        boolean running = true;
        boolean notified; // one of its calls failed in the outage
        int incarnation;
        final Map<String, Call> round = new HashMap<>();
        final Map<Long, ModelMessage> held = new HashMap<>();

        Relay(int index, long seed, double share) {
            this.index = index;
            this.share = share;
            seedSource = new Random(seed);
            start();
        }

        void start() {
            control = new Control(settings(), seedSource.nextLong(), this);
            List<Entry> list = new ArrayList<>();
            for (int i = 0; i < scenario.endpoints; i++) {
                list.add(new Entry("e" + i, 1, 0, 0, 1, Listing.ACTIVE));
            }
            control.list(now, incarnation == 0 ? ListUpdate.COMPLETE : ListUpdate.STORED, list);
        }

        Settings settings() {
            var messageClass = new Controller.MessageClass(
                    "c", Effect.SAFE, Scope.ALL, false, false, 2_000, 0, DEADLINE_MS, 0, 1, 0.3);
            return new Settings(
                    scenario.relays,
                    index,
                    0,
                    false,
                    Weight.NONE,
                    true,
                    LateCurve.LINEAR,
                    List.of(messageClass),
                    List.of(new Kind(false, scenario.messagesPerCall)),
                    new Limits(16, 200, 6, true, false, false, true, 3_000, false, 1, 1_000, 10_000),
                    RULES);
        }

        void accept(ModelMessage message) {
            message.relay = this;
            held.put(message.id, message);
            control.accepted(
                    now,
                    new Message(
                            message.id, 0, 1, null, message.deadlineAt, 0, false, false, List.copyOf(message.tried)));
        }

        void restart() {
            incarnation++;
            running = false;
            notified = false;
            schedule(now + RESTART_MS, this, () -> {
                running = true;
                start();
                List.copyOf(held.values()).forEach(this::accept);
            });
        }

        @Override
        public void send(long id, String endpoint, double timeoutMs, boolean last) {
            ModelMessage message = held.get(id);
            Call call = round.get(endpoint);
            if (call == null || call.messages >= scenario.messagesPerCall) {
                call = call(this, endpoint, timeoutMs);
                round.put(endpoint, call);
            }
            if (call.arrival != null && call.messages > 0) {
                arrivals.remove(call.arrival);
                call.arrival =
                        new Arrival(call.arrival.at, call.arrival.weight + EXTRA_MESSAGE_WEIGHT, call.arrival.notified);
                arrivals.add(call.arrival);
            }
            call.messages++;
            int n = message.tried.size();
            message.tried.add(new EarlierAttempt(endpoint, EarlierAttempt.UNKNOWN_ZONE, now, true));
            Call sent = call;
            int startedAs = incarnation;
            schedule(sent.endsAt, this, () -> {
                if (startedAs != incarnation) {
                    return;
                }
                boolean ok = sent.result == Result.OK;
                message.tried.set(
                        n, new EarlierAttempt(endpoint, EarlierAttempt.UNKNOWN_ZONE, sent.at, sent.result.maybeRan()));
                notified |= sent.duringOutage;
                if (ok && !message.done) {
                    message.done = true;
                    delivered += now <= message.deadlineAt ? 1 : 0;
                    latenessMs += now - message.submittedAt;
                }
                if (ok) {
                    held.remove(id);
                }
                control.ended(
                        now,
                        new Outcome(
                                id,
                                n,
                                endpoint,
                                sent.result,
                                now - sent.at,
                                ok,
                                sent.waitMs,
                                ok || sent.result == Result.FULL
                                        ? new Load(allowanceLeft(), scenario.limit)
                                        : Load.NONE));
            });
        }

        @Override
        public void refuse(long id, double afterMs) {
            ModelMessage message = held.remove(id);
            if (message == null || message.done || message.resubmissions >= MAX_RESUBMISSIONS) {
                return;
            }
            schedule(now + Math.max(afterMs, 300 + random.nextDouble() * 1_000), null, () -> resubmit(message));
        }

        @Override
        public void giveUp(long id) {
            held.remove(id);
        }

        @Override
        public void wake(double inMs) {
            int startedAs = incarnation;
            schedule(now + inMs, this, () -> {
                if (startedAs == incarnation) {
                    control.timer(now);
                }
            });
        }

        @Override
        public void cancel(long id, int attempt) {
            throw new AssertionError();
        }

        @Override
        public void closeIdle(String endpoint) {}

        @Override
        public void watchList() {}

        @Override
        public void report(String text) {}
    }

    private final Scenario scenario;
    private final Random random;
    private final double returnsAt;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Relay> fleet = new ArrayList<>();
    private final List<Arrival> arrivals = new ArrayList<>();
    private final List<Double> counted = new ArrayList<>(); // calls of the last second, against the limit
    private final Set<Relay> changed = new LinkedHashSet<>();
    private double now;
    private long sequence;
    private long nextId = 1;
    private double submitted;
    private double delivered;
    private double latenessMs;

    private ColdFleet(Scenario scenario, long seed) {
        this.scenario = scenario;
        random = new Random(seed);
        returnsAt = OUTAGE_START_MS + scenario.outageMs * (0.8 + 0.4 * random.nextDouble());
        int busy = Math.max(1, scenario.relays / 10);
        for (int i = 0; i < scenario.relays; i++) {
            double share = !scenario.skewed
                    ? 1.0 / scenario.relays
                    : i < busy ? 0.5 / busy : 0.5 / Math.max(1, scenario.relays - busy);
            fleet.add(new Relay(i, random.nextLong(), share));
        }
    }

    static Totals simulate(Scenario scenario, long seed) {
        return new ColdFleet(scenario, seed).run();
    }

    private Totals run() {
        for (Relay relay : fleet) {
            scheduleMessages(relay, relay.share * (1 - BURST_SHARE) * LOAD * scenario.limit);
            if (random.nextDouble() < scenario.restarted) {
                schedule(returnsAt - 3_000 + random.nextDouble() * 6_000, relay, relay::restart);
            }
        }
        burst();
        while (!events.isEmpty() && events.peek().at < returnsAt + OBSERVED_MS) {
            now = events.peek().at;
            changed.clear();
            while (!events.isEmpty() && events.peek().at == now) {
                Event event = events.poll();
                event.action.run();
                if (event.relay != null) {
                    changed.add(event.relay);
                }
            }
            for (Relay relay : List.copyOf(changed)) {
                relay.round.clear();
                if (relay.running) {
                    relay.control.decide(now);
                }
            }
        }
        return evaluate();
    }

    private void schedule(double when, Relay relay, Runnable action) {
        events.add(new Event(Math.max(now + 1, Math.ceil(when)), sequence++, action, relay));
    }

    private void scheduleMessages(Relay relay, double perS) {
        schedule(now - 1000 * Math.log(1 - random.nextDouble()) / perS, relay, () -> {
            assign(relay, newMessage());
            scheduleMessages(relay, perS);
        });
    }

    /** Some messages arrive all at once, as many as the destination accepts in two seconds. */
    private void burst() {
        double size = Math.max(2, Math.rint(BURST_S * scenario.limit));
        schedule(
                now - 1000 * Math.log(1 - random.nextDouble()) * size / (BURST_SHARE * LOAD * scenario.limit),
                null,
                () -> {
                    for (int i = 0; i < size; i++) {
                        double draw = random.nextDouble();
                        int index = 0;
                        for (; index < fleet.size() - 1 && draw > fleet.get(index).share; index++) {
                            draw -= fleet.get(index).share;
                        }
                        assign(fleet.get(index), newMessage());
                    }
                    burst();
                });
    }

    private ModelMessage newMessage() {
        ModelMessage message = message(now);
        if (now > OUTAGE_START_MS && now < returnsAt + RULES.warmAfterMs()) {
            submitted++;
        } else {
            message.done = true;
        }
        return message;
    }

    private ModelMessage message(double submittedAt) {
        ModelMessage message = new ModelMessage();
        message.id = nextId++;
        message.submittedAt = submittedAt;
        message.deadlineAt = submittedAt + DEADLINE_MS;
        return message;
    }

    private void assign(Relay relay, ModelMessage message) {
        Relay to = relay;
        while (!to.running) {
            to = fleet.get(random.nextInt(fleet.size()));
        }
        to.accept(message);
        changed.add(to);
    }

    private void resubmit(ModelMessage refused) {
        if (now >= refused.deadlineAt) {
            return;
        }
        ModelMessage message = message(refused.submittedAt);
        message.resubmissions = refused.resubmissions + 1;
        assign(fleet.get(random.nextInt(fleet.size())), message);
    }

    private Call call(Relay relay, String endpoint, double timeoutMs) {
        Call call = new Call();
        call.endpoint = endpoint;
        call.at = now;
        double arrivesAt = now + LATENCY_MS;
        double tookMs = 2 * LATENCY_MS + 40 + 120 * random.nextDouble();
        call.result = Result.OK;
        call.duringOutage = arrivesAt >= OUTAGE_START_MS && arrivesAt < returnsAt;
        if (call.duringOutage) {
            call.result = switch (scenario.outage) {
                case REFUSED -> Result.CONNECT_FAILED;
                case RESET -> Result.RESET;
                case SILENT -> Result.TIMEOUT;
                case ERRORS -> Result.ERROR;
                default -> Result.FULL;
            };
            tookMs = scenario.outage == Outage.SILENT
                    ? timeoutMs
                    : scenario.outage == Outage.ERRORS ? tookMs : 2 * LATENCY_MS;
            call.waitMs = scenario.outage == Outage.SHUT_TOLD ? returnsAt - arrivesAt : 0;
        } else {
            if (arrivesAt >= returnsAt) {
                call.arrival = new Arrival(arrivesAt, 1, relay.notified);
                arrivals.add(call.arrival);
            }
            counted.removeIf(t -> t < arrivesAt - 1_000);
            if (counted.size() >= Math.max(1, scenario.limit) * 1.1 + 1) {
                call.result = Result.FULL;
                tookMs = 2 * LATENCY_MS;
            } else {
                counted.add(arrivesAt);
            }
        }
        call.endsAt = now + tookMs;
        return call;
    }

    private double allowanceLeft() {
        counted.removeIf(t -> t < now - 1_000);
        return Math.max(0, 1 - counted.size() / Math.max(1, scenario.limit));
    }

    /** Calls that the settings permit in the window that ends at this time. */
    private double allowed(double end) {
        double sum = 0;
        for (int i = 0; i < 20; i++) {
            double t = Math.max(0, end - RULES.overloadForMs() * (i + 0.5) / 20 - returnsAt);
            double s = RULES.startCapacity();
            sum += Math.min(1, s + (1 - s) * t / RULES.warmAfterMs()) / 20;
        }
        return RULES.fallMultiple() * scenario.limit * sum * RULES.overloadForMs() / 1000;
    }

    private Totals evaluate() {
        arrivals.sort((a, b) -> Double.compare(a.at, b.at));
        double worst = 0;
        double worstNotified = 0;
        boolean overBudget = false;
        double total = 0;
        double notified = 0;
        double totalInSlowStart = 0;
        int first = 0;
        for (Arrival arrival : arrivals) {
            if (arrival.at > returnsAt + RULES.warmAfterMs()) {
                break;
            }
            total += arrival.weight;
            notified += arrival.notified ? arrival.weight : 0;
            totalInSlowStart += arrival.weight;
            for (; arrivals.get(first).at <= arrival.at - RULES.overloadForMs(); first++) {
                total -= arrivals.get(first).weight;
                notified -= arrivals.get(first).notified ? arrivals.get(first).weight : 0;
            }
            double allowed = allowed(arrival.at);
            double bound = allowed + 2 * Math.sqrt(allowed) + 2;
            worst = Math.max(worst, total / bound);
            worstNotified = Math.max(worstNotified, notified / bound);
            overBudget |= total > bound && notified > total * 2 / 3;
        }
        double budget =
                RULES.fallMultiple() * scenario.limit * RULES.warmAfterMs() / 1000 * (RULES.startCapacity() + 1) / 2;
        return new Totals(
                worst,
                worstNotified,
                overBudget,
                delivered / Math.max(1, submitted),
                latenessMs / Math.max(1, delivered),
                totalInSlowStart / Math.min(budget, Math.max(1, LOAD * scenario.limit * RULES.warmAfterMs() / 1000)));
    }
}
