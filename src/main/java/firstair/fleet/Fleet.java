package firstair.fleet;

import firstair.control.Controller.Lane;
import firstair.control.Controller.Share;
import firstair.fleet.booking.Booked;
import firstair.fleet.booking.Booking;
import firstair.fleet.booking.Bookings;
import firstair.fleet.booking.Operation;
import firstair.fleet.booking.Operations;
import firstair.fleet.budget.Allocation;
import firstair.fleet.budget.Budgets;
import firstair.fleet.count.CallCounts;
import firstair.fleet.count.Total;
import firstair.fleet.fault.Fault;
import firstair.fleet.judge.HealthEvidence;
import firstair.fleet.ledger.AgreedContracts;
import firstair.fleet.ledger.Agreement;
import firstair.fleet.ledger.Agreements;
import firstair.fleet.ledger.Follower;
import firstair.fleet.ledger.Keeper;
import firstair.fleet.ledger.Ledger;
import firstair.fleet.ledger.LedgerMemory;
import firstair.fleet.ledger.Outcome;
import firstair.fleet.ledger.Proposer;
import firstair.fleet.member.Membership;
import firstair.fleet.residency.Contract;
import firstair.fleet.residency.Contracts;
import firstair.fleet.residency.Residency;
import firstair.fleet.talk.Envelope;
import firstair.fleet.talk.Gate;
import firstair.fleet.talk.Note;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * All that one relay's process decides as one of a fleet. Whoever owns it hands in what is heard and what happens to
 * messages, and calls {@link #timer} when asked to; notes, and what follows for the relay's own decisions, go to
 * {@link Actions}. Times are milliseconds on the relay's own advancing clock; the wall clock is told apart and serves
 * contracts and bookings alone. The same events and seed give the same actions.
 */
public final class Fleet {
    private static final double ROUND_MS = 250; // how often what follows from others is looked at again
    private static final double FRESH_MS = 1000; // a share that rests on the wall clock has to be told again
    private static final double DEMAND_MS = 4000; // over which demand is averaged
    private static final double HEADROOM = 1.25; // so many times the demand is asked for
    private static final double LONGEST_WAIT_MS = 60_000;
    private static final double FAILS_MS = 5000; // failures seen count for so long
    private static final double ANSWERS_MS = 5000;
    private static final int FAILS = 3; // in a row at an endpoint that are worth telling
    private static final int SIGNS = 8; // told with one hello
    private static final int SECONDS = 2; // of counts told with one hello
    private static final double QUOTA_BURST_MS = 1000;
    private static final double ASK_MS = 1000;
    private static final double PATIENCE_MS = 700;
    private static final double TICKS_IN_SEAL = 8; // of the ledger's clock, so that relays know their sealed span
    private static final double TICK_PAUSE_MS = 2000;
    private static final double FORGET_MS = 60_000; // zones that nobody asked for
    private static final int MOST_PAIRS = 4096;
    private static final byte[] NOTHING = new byte[0];

    /** What follows for others and for the relay itself. */
    public interface Actions {
        /** Sends it once, with no promise that it arrives. */
        void send(Envelope envelope);

        /** Asks for {@link Fleet#timer} after a while. */
        void wake(double inMs);

        /** Our share of a destination; -1 for all that are not told apart. */
        void share(int destination, Share share);

        /** What others say of an endpoint: a wait, and until when it is held to be sick. */
        void warned(String endpoint, double waitUntil, double avoidUntil);

        /** Zones of held messages may have changed: {@link Fleet#terms} is to be asked for each again. */
        void confine();

        /** A line for the operators. */
        void report(String text);
    }

    /** How much is asked for, averaged. */
    private static final class Flow {
        private double perS;
        private double at = Double.NEGATIVE_INFINITY;

        void add(double now) {
            perS = perS(now) + 1000 / DEMAND_MS;
        }

        double perS(double now) {
            perS *= Math.exp(-(now - at) / DEMAND_MS);
            at = now;
            return perS;
        }
    }

    /** One destination, and what was told of it. */
    private static final class Dest {
        final Flow flow = new Flow();
        double limit; // calls a second, 0 while none is known
        Share told;
    }

    /** What goes to one destination on one booking. */
    private static final class Way {
        final BookedLane lane;
        final Flow flow = new Flow();

        Way(double now) {
            lane = new BookedLane(now);
        }
    }

    /** One endpoint as we have seen it. */
    private static final class Seen {
        int fails;
        double waitTold = Double.NEGATIVE_INFINITY;
        boolean avoidTold;
    }

    private record Pair(String tenant, String messageClass) {}

    private static final class Asked {
        Set<String> zones;
        double at;
    }

    private final class Post implements Outbox {
        @Override
        public void send(String to, Note note) {
            post(to, note);
        }

        @Override
        public void report(String text) {
            act.report(text);
        }
    }

    private final Setup setup;
    private final Sharing sharing;
    private final long incarnation;
    private final Actions act;
    private final Gate gate;
    private final Membership members;
    private final Budgets budgets;
    private final CallCounts counts;
    private final HealthEvidence signs;
    private final Contracts contracts;
    private final Residency residency;
    private final Booked booked;
    private final Ledger ledger; // where we are a voter and something is agreed on
    private final Follower follower; // elsewhere
    private final Proposer proposer;
    private final AgreedBookings own = new AgreedBookings(); // of the ledger
    private Bookings bookings; // as last agreed, null before
    private final Map<Integer, Dest> dests = new TreeMap<>();
    private final Map<String, Seen> endpoints = new LinkedHashMap<>();
    private final Map<Pair, Asked> pairs = new LinkedHashMap<>();
    private final Map<String, Flow> tenants = new LinkedHashMap<>();
    private final Map<String, Way> ways = new LinkedHashMap<>(); // by destination and booking
    private final Map<String, List<Note>> outgoing = new LinkedHashMap<>();
    private double now;
    private double wallAtZero; // epoch ms at zero of our clock
    private double roundAt = Double.NEGATIVE_INFINITY;
    private double wakeAt = Double.POSITIVE_INFINITY;
    private double tickAt = Double.NEGATIVE_INFINITY;
    private double contractsAt = Double.NEGATIVE_INFINITY;
    private long contractsHeld; // newest version agreed
    private List<Map<String, Contract>> versions = List.of(); // that are kept of those agreed
    private long agreedVersion;
    private byte[] agreedState = NOTHING;
    private byte[] bookingsHeld = NOTHING;
    private boolean over; // stepped back, or left

    /**
     * A process that starts.
     *
     * @param incarnation higher than that of all processes before it under this name
     * @param memory      what this voter remembers of the ledger; null at others, and where nothing is agreed on
     * @param keeper      keeps its changes, null with {@code memory}
     * @param at          now
     * @param epochMs     the wall clock now
     */
    public Fleet(
            Setup setup,
            Sharing sharing,
            long incarnation,
            long seed,
            LedgerMemory memory,
            Keeper keeper,
            double at,
            double epochMs,
            Actions actions) {
        this.setup = setup;
        this.sharing = sharing;
        this.incarnation = incarnation;
        act = actions;
        now = at;
        wallAtZero = epochMs - at;
        Random random = new Random(seed);
        Post post = new Post();
        gate = new Gate(setup, incarnation);
        members = new Membership(setup, incarnation, new Random(random.nextLong()), post);
        budgets = new Budgets(setup, incarnation, new Random(random.nextLong()), post, at, sharing.repeatsEach());
        counts = new CallCounts(setup, incarnation);
        signs = new HealthEvidence(
                setup, incarnation, LONGEST_WAIT_MS, s -> s.startsWith("e:") && endpoints.containsKey(s.substring(2)));
        contracts = new Contracts(
                setup, at, epochMs, sharing.contractTermMs(), sharing.contracts(), sharing.tenants(), post);
        residency = new Residency(setup, contracts, at, QUOTA_BURST_MS);
        booked = new Booked(sharing.skewMs());
        Random ledgers = new Random(random.nextLong());
        if (memory != null) {
            TreeMap<Integer, Agreement> machines = new TreeMap<>();
            machines.put(Agreements.CONTRACTS, new AgreedContracts(2 * sharing.contractTermMs()));
            machines.put(Agreements.BOOKINGS, own);
            ledger = new Ledger(
                    setup, incarnation, memory, keeper, new Agreements(machines), post, ledgers, this::agreed);
        } else {
            ledger = null;
        }
        boolean follows = memory == null && sharing.agrees();
        follower = follows ? new Follower(setup, post, ledgers, this::agreed, ASK_MS, PATIENCE_MS) : null;
        proposer = follows ? new Proposer(setup, incarnation, post, ledgers) : null;
    }

    // ---- events ----

    /** Begins to talk. */
    public void start(double at) {
        now = at;
        double kept = sharing.bookings() ? 1 - sharing.bookable() : 1;
        double sure = (double) setup.sure() / Setup.WHOLE * kept;
        act.share(-1, new Share(sure, Double.POSITIVE_INFINITY, sure, repeats("")));
        if (ledger != null) {
            ledger.start(at);
        }
        timer(at, at + wallAtZero);
    }

    /** The wall clock was read. */
    private void wall(double epochMs) {
        wallAtZero = epochMs - now;
        contracts.wall(now, epochMs);
    }

    private long wall() {
        return (long) (now + wallAtZero);
    }

    /**
     * Something came from another relay.
     *
     * @throws Fault if it is not acted on; it is counted
     */
    public void heard(double at, Envelope envelope) {
        now = Math.max(now, at);
        try {
            for (Note note : gate.pass(envelope)) {
                heard(envelope, note);
            }
        } catch (Fault.NameTaken taken) {
            stepBack();
            throw taken;
        } finally {
            after();
        }
    }

    /** One note that cannot be used does not take the others of its envelope along. */
    private void heard(Envelope envelope, Note note) {
        try {
            heard(envelope.from(), envelope.incarnation(), note);
        } catch (Fault fault) {
            gate.dropped(fault);
        }
    }

    private void heard(String from, long sender, Note note) {
        members.heard(now, from, sender, note);
        if (note instanceof Note.Signs n) {
            signs.merge(now, from, n);
        } else if (note instanceof Note.Counts n) {
            counts.merge(now, n);
        } else if (note instanceof Note.StandingAsk
                || note instanceof Note.StandingAnswer
                || note instanceof Note.StandingBack
                || note instanceof Note.LoanAsk
                || note instanceof Note.Loan
                || note instanceof Note.LoanBack
                || note instanceof Note.Gift) {
            budgets.onNote(now, from, sender, note);
        } else if (ledger != null) {
            if (note instanceof Note.Engine
                    || note instanceof Note.Propose
                    || note instanceof Note.Proposed
                    || note instanceof Note.AgreedAsk
                    || note instanceof Note.Agreed) {
                ledger.heard(now, from, note);
            }
        } else if (note instanceof Note.Agreed n && follower != null) {
            follower.heard(now, from, n);
        } else if (note instanceof Note.Proposed n && proposer != null) {
            proposer.heard(now, from, n);
        }
    }

    /** Bytes came that are nothing to act on. */
    public void dropped(Fault fault) {
        gate.dropped(fault);
    }

    /** What was dropped so far, by the code of its fault. */
    public Map<String, Long> drops() {
        return gate.counts();
    }

    /** A wake-up that was asked for, or any other moment; {@code epochMs} by the wall clock. */
    public void timer(double at, double epochMs) {
        now = Math.max(now, at);
        wall(epochMs);
        if (now >= wakeAt) {
            wakeAt = Double.POSITIVE_INFINITY;
        }
        double next = Math.min(members.timer(now), budgets.timer(now));
        signs.timer(now);
        contracts.timer(now);
        if (ledger != null) {
            ledger.timer(now);
            next = Math.min(next, ledger.wakeAt());
        } else if (follower != null) {
            follower.timer(now);
            proposer.timer(now);
            next = Math.min(next, Math.min(follower.wakeAt(), proposer.wakeAt()));
        }
        round();
        wake(Math.min(Math.min(next, roundAt), toldUntil()));
        after();
    }

    /** When the first share that was told ends: what holds from then on is told at once. */
    private double toldUntil() {
        return dests.values().stream()
                .filter(d -> d.told != null && d.told.until() > now)
                .mapToDouble(d -> d.told.until())
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    private void wake(double at) {
        if (at < wakeAt) {
            wakeAt = at;
            act.wake(Math.max(0, at - now));
        }
    }

    /** Before each round of the relay's own decisions: a process that was stopped must not go by what it knew. */
    public void refresh(double at, double epochMs) {
        if (at >= roundAt) {
            timer(at, epochMs);
        } else {
            now = Math.max(now, at);
            confine(); // contracts may just have ceased to be confirmed
        }
    }

    private void round() {
        if (now < roundAt) {
            return;
        }
        roundAt = now + ROUND_MS;
        budgets.alive(new LinkedHashSet<>(members.alive()));
        dests.forEach((number, d) -> need(budget(number), d.flow, d.limit));
        ways();
        quotas();
        tick();
        propose();
        tell();
        confine();
    }

    private static String budget(int destination) {
        return "d:" + destination;
    }

    private static String budget(String booking) {
        return "b:" + booking;
    }

    /** @param whole calls a second that the whole budget is worth, 0 if unknown */
    private void need(String budget, Flow flow, double whole) {
        if (whole > 0) {
            budgets.need(now, budget, (int) Math.min(Setup.WHOLE, HEADROOM * flow.perS(now) / whole * Setup.WHOLE));
        }
    }

    // ---- what happens to messages ----

    /** A message for a destination was handed in. */
    public void taken(double at, int destination) {
        Dest d = dests.get(destination);
        if (d != null) {
            now = Math.max(now, at);
            d.flow.add(now);
        }
    }

    /** The destinations and endpoints that are listed now; all others are forgotten. */
    public void listed(double at, Set<Integer> destinations, Set<String> names) {
        now = Math.max(now, at);
        dests.keySet().retainAll(destinations);
        destinations.forEach(d -> dests.computeIfAbsent(d, k -> new Dest()));
        endpoints.keySet().retainAll(names);
        names.forEach(e -> endpoints.computeIfAbsent(e, k -> new Seen()));
        roundAt = Math.min(roundAt, now);
        wake(now);
    }

    /** A call is made. */
    public void called(double at, int destination, boolean repeat) {
        now = Math.max(now, at);
        String name = String.valueOf(destination);
        if (!repeat) {
            budgets.onFirstAttempt(name);
        } else if (sharing.repeatsEach() > 0) {
            budgets.spendRetry(name);
        }
        counts.add(now, budget(destination), 1);
    }

    /**
     * A call has ended.
     *
     * @param answered whether the endpoint has answered it with a delivery
     * @param failed   whether it failed, reset, did not connect or was not answered in time
     * @param waitMs   the wait that was told, 0 if none
     * @param limit    the limit that was reported, calls a second; NaN if none
     */
    public void ended(
            double at,
            int destination,
            String endpoint,
            boolean answered,
            boolean failed,
            double waitMs,
            double limit) {
        now = Math.max(now, at);
        Dest d = dests.get(destination);
        if (d != null && limit > 0) {
            d.limit = limit;
        }
        Seen e = endpoints.get(endpoint);
        if (e == null) {
            return;
        }
        String subject = "e:" + endpoint;
        if (waitMs > 0) {
            signs.observe(now, subject, Note.Sight.WAIT, 1, Math.min(waitMs, LONGEST_WAIT_MS));
        }
        if (answered) {
            e.fails = 0;
            signs.observe(now, subject, Note.Sight.ANSWERS, 1, ANSWERS_MS);
        } else if (failed && ++e.fails >= FAILS) {
            signs.observe(now, subject, Note.Sight.FAILS, e.fails, FAILS_MS);
        }
        if (!answered && sharing.repeatsEach() > 0 && budgets.availableRetries(String.valueOf(destination)) == 0) {
            budgets.requestRetries(String.valueOf(destination));
        }
    }

    // ---- what follows for the relay's own decisions ----

    private int repeats(String destination) {
        return sharing.repeatsEach() > 0 ? budgets.availableRetries(destination) : Integer.MAX_VALUE;
    }

    private void tell() {
        dests.forEach((number, d) -> {
            Share share = share(number, d);
            if (!share.equals(d.told)) {
                d.told = share;
                act.share(number, share);
            }
        });
        endpoints.forEach((name, e) -> {
            double wait = signs.waitUntil(now, "e:" + name);
            boolean avoid = signs.isDown(now, "e:" + name);
            if (wait > Math.max(now, e.waitTold) || avoid || e.avoidTold) {
                e.waitTold = Math.max(wait, e.waitTold);
                e.avoidTold = avoid;
                act.warned(name, wait, avoid ? now + 2 * ROUND_MS : Double.NEGATIVE_INFINITY);
            }
        });
    }

    private Share share(int number, Dest d) {
        Allocation p = budgets.allocation(now, budget(number));
        int left = repeats(String.valueOf(number));
        double parts = (double) p.parts() / Setup.WHOLE;
        double sure = (double) p.guaranteed() / Setup.WHOLE;
        if (!sharing.bookings()) {
            return new Share(parts, p.until(), sure, left);
        }
        double kept = 1 - sharing.bookable();
        double ordinary = d.limit > 0 ? booked.ordinary(wall(), number, d.limit, sharing.bookable()) / d.limit : kept;
        double borrowed = d.limit > 0
                ? booked.borrowed(now, wall(), number, id -> budgets.allocation(now, budget(id))
                                .parts())
                        / d.limit
                : 0;
        return new Share(parts * ordinary + borrowed, Math.min(p.until(), now + FRESH_MS), sure * kept, left);
    }

    // ---- tenants ----

    /**
     * Whether a message may be taken, and what binds it then. Nothing of it may be stored before.
     *
     * @param tenant  as the client names it, or null
     * @param booking what it is to draw on, or null
     * @throws Fault why it is not taken
     */
    public Terms admit(double at, String tenant, String messageClass, int destination, String booking) {
        now = Math.max(now, at);
        if (booking != null && !sharing.bookings()) {
            throw new Fault.UnknownBooking(booking);
        }
        if (tenant != null && contracts.names(tenant)) {
            tenants.computeIfAbsent(tenant, t -> new Flow()).add(now); // also what is over quota is wanted
        }
        if (booking != null && booked.team(booking) == null && booked.covers(wall())) {
            throw new Fault.UnknownBooking(booking);
        }
        Optional<Set<String>> zones = residency.admit(now, tenant, messageClass);
        Lane lane = booking == null ? null : lane(booking, destination);
        if (ways.containsKey(way(booking, destination))) {
            ways.get(way(booking, destination)).flow.add(now);
            booked.used(now, booking, destination, 1);
        }
        zones.ifPresent(z -> remember(tenant, messageClass, z));
        return new Terms(zones.orElse(null), lane);
    }

    /** What binds a message that is held. */
    public Terms terms(double at, String tenant, String messageClass, int destination, String booking) {
        now = Math.max(now, at);
        Optional<Set<String>> zones = residency.zones(now, tenant, messageClass);
        zones.ifPresent(z -> remember(tenant, messageClass, z));
        return new Terms(zones.orElse(null), booking == null ? null : lane(booking, destination));
    }

    private void remember(String tenant, String messageClass, Set<String> zones) {
        if (pairs.size() < MOST_PAIRS || pairs.containsKey(new Pair(tenant, messageClass))) {
            Asked a = pairs.computeIfAbsent(new Pair(tenant, messageClass), p -> new Asked());
            a.zones = zones;
            a.at = now;
        }
    }

    private void confine() {
        boolean changed = false;
        for (Map.Entry<Pair, Asked> e : pairs.entrySet()) {
            Set<String> zones = residency
                    .zones(now, e.getKey().tenant(), e.getKey().messageClass())
                    .orElse(null);
            changed |= !e.getValue().zones.equals(zones);
        }
        pairs.values().removeIf(a -> now - a.at > FORGET_MS);
        if (changed) {
            pairs.clear(); // those that are still held are asked for again
            act.confine();
        }
    }

    private void quotas() {
        tenants.keySet().removeIf(t -> !contracts.names(t));
        tenants.forEach((tenant, flow) -> {
            String budget = Residency.budget(tenant);
            need(budget, flow, contracts.quota(tenant));
            Allocation p = budgets.allocation(now, budget);
            residency.part(now, tenant, p.parts(), p.until(), p.guaranteed());
        });
    }

    // ---- bookings ----

    private static String way(String booking, int destination) {
        return destination + " " + booking;
    }

    /** A lane that is shut where nothing is known of the booking here. */
    private Lane lane(String booking, int destination) {
        if (booked.team(booking) == null) {
            return new BookedLane(now);
        }
        Way way = ways.computeIfAbsent(way(booking, destination), k -> new Way(now));
        told(way.lane, booking, destination);
        return way.lane;
    }

    private void ways() {
        ways.keySet().removeIf(k -> booked.team(k.substring(k.indexOf(' ') + 1)) == null);
        ways.forEach((key, way) -> {
            int space = key.indexOf(' ');
            int destination = Integer.parseInt(key.substring(0, space));
            String booking = key.substring(space + 1);
            long sent = way.lane.sent();
            if (sent > 0) {
                counts.add(now, budget(booking), sent);
            }
            need(budget(booking), way.flow, booked.calls(booking, destination));
            told(way.lane, booking, destination);
        });
    }

    private void told(BookedLane lane, String booking, int destination) {
        Allocation p = budgets.allocation(now, budget(booking));
        double rate = booked.rate(wall(), booking, booked.team(booking), destination, p.parts());
        lane.told(now, rate, Math.min(p.until(), now + FRESH_MS));
    }

    /** The ledger's time goes on only with operations: its leader sees to that, often enough for what is sealed. */
    private void tick() {
        if (ledger == null || !ledger.leads() || now < tickAt || !sharing.bookings()) {
            return;
        }
        Bookings b = own.bookings();
        double due = b.time() + b.rules().sealBeforeMs() / TICKS_IN_SEAL;
        if (b.time() == 0 || wall() >= Math.min(b.nextMs(), due)) {
            tickAt = now + TICK_PAUSE_MS;
            ledger.propose(now, AgreedBookings.operation(wall(), new Operation.Tick()), o -> {});
        }
    }

    /** Contracts of the settings file that follow the agreed ones are proposed by the leader. */
    private void propose() {
        if (ledger == null
                || !ledger.leads()
                || now < contractsAt
                || !sharing.tenants()
                || sharing.contractVersion() != contractsHeld + 1) {
            return;
        }
        contractsAt = now + TICK_PAUSE_MS;
        try {
            Contract.follows(versions, sharing.contracts());
        } catch (Fault fault) {
            contractsAt = Double.POSITIVE_INFINITY; // until a start with other ones
            act.report(fault.line());
            return;
        }
        ledger.propose(
                now,
                AgreedContracts.put(contractsHeld, wall(), ContractTexts.write(sharing.contracts())),
                o -> act.report("contracts, version " + sharing.contractVersion() + ": " + ContractTexts.told(o)));
    }

    /** Something is agreed, or what is held was confirmed. */
    private void agreed(long version, byte[] state, boolean sure, double askedAt) {
        if (state.length == 0) {
            return;
        }
        agreedVersion = version;
        agreedState = state;
        Map<Integer, byte[]> parts = Agreements.parts(state);
        List<Map<String, Contract>> all = new ArrayList<>();
        for (AgreedContracts.Version v : AgreedContracts.read(parts.get(Agreements.CONTRACTS))) {
            all.add(ContractTexts.read(v.contracts()));
            contracts.agreed(now, v.number(), all.get(all.size() - 1), true);
            contractsHeld = Math.max(contractsHeld, v.number());
        }
        versions = all;
        if (sure) {
            contracts.confirmed(now, askedAt, contractsHeld);
        }
        byte[] bytes = parts.get(Agreements.BOOKINGS);
        if (sharing.bookings() && !Arrays.equals(bytes, bookingsHeld)) {
            bookingsHeld = bytes;
            bookings = Bookings.restore(bytes);
            booked.agreed(bookings.sealedSet(bookings.time()));
        }
        roundAt = Math.min(roundAt, now);
    }

    /** Whether this voter leads the others as far as it knows. */
    public boolean leads() {
        return ledger != null && ledger.leads();
    }

    /** Version of what is agreed, as far as it is known here; 0 before the first. */
    public long agreedVersion() {
        return agreedVersion;
    }

    /** What is agreed, as {@link Agreements#parts} reads it; empty before the first. */
    public byte[] agreedState() {
        return agreedState.clone();
    }

    /** A booking as last agreed, as JSON. */
    public byte[] booking(String id) {
        Booking b = bookings == null ? null : bookings.booking(id);
        if (b == null) {
            throw new Fault.UnknownBooking(id);
        }
        return Operations.show(b);
    }

    /** Calls on a booking over the fleet in the last span of time, and from how many relays that is known. */
    public Total used(double at, String id, double spanMs) {
        return counts.total(Math.max(now, at), budget(id), spanMs);
    }

    /**
     * Has operations on bookings agreed on, one after the other.
     *
     * @param done is told what came of the last one, or of the first that was refused
     * @throws Fault.NotNow where nothing is agreed on here
     */
    public void book(double at, List<Operation> operations, Consumer<Outcome> done) {
        now = Math.max(now, at);
        if (!sharing.bookings() || over) {
            throw new Fault.NotNow(LONGEST_WAIT_MS);
        }
        book(operations, 0, done);
        after();
    }

    private void book(List<Operation> operations, int next, Consumer<Outcome> done) {
        byte[] operation = AgreedBookings.operation(wall(), operations.get(next));
        Consumer<Outcome> then = o -> {
            if (o instanceof Outcome.Agreed && next + 1 < operations.size()) {
                book(operations, next + 1, done);
            } else {
                done.accept(o);
            }
        };
        if (ledger != null) {
            ledger.propose(now, operation, then);
        } else {
            proposer.propose(now, operation, then);
        }
        wake(now);
    }

    // ---- end ----

    private void stepBack() {
        if (!over) {
            over = true;
            members.nameTaken();
            budgets.stepDown(now);
            if (ledger != null) {
                ledger.stop(now);
            }
        }
    }

    /** The process ends in order: what it holds goes back at once, the others are told. */
    public void leave(double at) {
        now = Math.max(now, at);
        if (!over) {
            over = true;
            budgets.leave(now);
            if (ledger != null) {
                ledger.leave(now);
            }
            members.leave();
            after();
        }
    }

    // ---- notes on their way out ----

    private void post(String to, Note note) {
        List<Note> notes = outgoing.computeIfAbsent(to, k -> new ArrayList<>());
        notes.add(note);
        if (note instanceof Note.Hello || note instanceof Note.HelloBack) {
            List<Note.Sign> told = signs.nextToSend(now, SIGNS);
            if (!told.isEmpty()) {
                notes.add(new Note.Signs(told));
            }
            Note.Counts counted = counts.recent(now, SECONDS);
            if (!counted.counts().isEmpty()) {
                notes.add(counted);
            }
        }
    }

    /** Notes of one event to one member travel together. */
    private void after() {
        tell(); // parts that a note lends or gives back are used no more before it goes out
        Map<String, List<Note>> all = new LinkedHashMap<>(outgoing);
        outgoing.clear();
        all.forEach((to, notes) -> act.send(new Envelope(
                setup.fleet(), Envelope.VERSION, setup.self(), incarnation, to, gate.seen(to), List.copyOf(notes))));
    }

    /** How many members are held to be there, ourselves with them. */
    public int alive() {
        return members.alive().size() + 1;
    }

    /** Whether a majority of the voters is heard. */
    public boolean stands(double at) {
        return budgets.holdsOwnLease(Math.max(now, at));
    }

    /** Whether another process has taken our name, or ours has left. */
    public boolean isOver() {
        return over;
    }

    /** What may be used of a destination's limit now. */
    public Allocation part(double at, int destination) {
        return budgets.allocation(Math.max(now, at), budget(destination));
    }
}
