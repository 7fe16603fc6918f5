package firstair.fleet;

import firstair.control.Controller.BookedCapacity;
import firstair.control.Controller.Share;
import firstair.fleet.booking.Booking;
import firstair.fleet.booking.Bookings;
import firstair.fleet.booking.Operation;
import firstair.fleet.booking.Operations;
import firstair.fleet.booking.RelayBookings;
import firstair.fleet.budget.Allocation;
import firstair.fleet.budget.Budgets;
import firstair.fleet.count.CallCounts;
import firstair.fleet.count.Total;
import firstair.fleet.fault.Fault;
import firstair.fleet.judge.HealthEvidence;
import firstair.fleet.ledger.AgreedContracts;
import firstair.fleet.ledger.Follower;
import firstair.fleet.ledger.Ledger;
import firstair.fleet.ledger.LedgerState;
import firstair.fleet.ledger.LedgerStateMachines;
import firstair.fleet.ledger.LedgerStore;
import firstair.fleet.ledger.Outcome;
import firstair.fleet.ledger.Proposer;
import firstair.fleet.ledger.ReplicatedStateMachine;
import firstair.fleet.member.Membership;
import firstair.fleet.residency.Contract;
import firstair.fleet.residency.Contracts;
import firstair.fleet.residency.Residency;
import firstair.fleet.talk.Envelope;
import firstair.fleet.talk.EnvelopeFilter;
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
 * All decisions that a relay's process makes as a member of a fleet. The owner passes in received envelopes and what
 * happens to messages, and calls {@link #timer} when asked to; outgoing notes and the results for the relay's own
 * decisions go to {@link Actions}. Times are milliseconds on the relay's own monotonic clock; the wall clock is passed
 * in separately and used for contracts and bookings only. The same events and seed give the same actions.
 */
public final class Fleet {
    private static final double UPDATE_MS = 250; // interval at which what follows from other relays is recomputed
    private static final double WALL_SHARE_TTL_MS = 1000; // a share that depends on the wall clock expires after this
    private static final double DEMAND_WINDOW_MS = 4000; // time constant of the moving average of demand
    private static final double DEMAND_HEADROOM = 1.25; // how many times the demand is requested of a budget
    private static final double MAX_WAIT_MS = 60_000;
    private static final double FAILURES_HOLD_MS = 5000; // how long failures count as evidence
    private static final double ANSWERS_HOLD_MS = 5000;
    private static final int MIN_FAILURES = 3; // consecutive failures at an endpoint that are reported to others
    private static final int SIGNS_PER_HELLO = 8; // sent with one hello
    private static final int SECONDS_PER_HELLO = 2; // of counts, sent with one hello
    private static final double QUOTA_BURST_MS = 1000;
    private static final double FOLLOWER_POLL_MS = 1000;
    private static final double FOLLOWER_TIMEOUT_MS = 700;
    private static final double TICKS_PER_SEAL = 8; // of the ledger's clock: relays learn the sealed period in time
    private static final double PROPOSAL_PAUSE_MS = 2000;
    private static final double ZONES_TTL_MS = 60_000; // zone lookups that were not used for so long are removed
    private static final int MAX_ZONE_LOOKUPS = 4096;
    private static final byte[] EMPTY = new byte[0];

    /** What the fleet's decisions require of the relay. */
    public interface Actions {
        /** Sends an envelope once; delivery is not guaranteed. */
        void send(Envelope envelope);

        /** Requests a call of {@link Fleet#timer} after a delay. */
        void wake(double inMs);

        /** Sets our share of a destination's limit; -1 sets that of all destinations without a share of their own. */
        void share(int destination, Share share);

        /** Evidence of other relays on an endpoint: the end of a requested wait, and until when to avoid it. */
        void warned(String endpoint, double waitUntil, double avoidUntil);

        /** The zones of held messages may have changed: {@link Fleet#terms} has to be called for each of them again. */
        void recheckZones();

        /** Logs a line for the operators. */
        void report(String text);
    }

    /** The moving average of a demand. */
    private static final class Demand {
        private double perS;
        private double at = Double.NEGATIVE_INFINITY;

        void add(double now) {
            perS = perS(now) + 1000 / DEMAND_WINDOW_MS;
        }

        double perS(double now) {
            perS *= Math.exp(-(now - at) / DEMAND_WINDOW_MS);
            at = now;
            return perS;
        }
    }

    /** A destination and the share last passed to {@link Actions}. */
    private static final class DestinationState {
        final Demand demand = new Demand();
        double limit; // calls per second, 0 while unknown
        Share lastShare;
    }

    /** The calls to one destination on one booking. */
    private static final class BookedCalls {
        final BookingTokenBucket bucket;
        final Demand demand = new Demand();

        BookedCalls(double now) {
            bucket = new BookingTokenBucket(now);
        }
    }

    /** What we know of an endpoint. */
    private static final class EndpointState {
        int failures;
        double waitReported = Double.NEGATIVE_INFINITY;
        boolean avoidReported;
    }

    private record TenantClass(String tenant, String messageClass) {}

    private static final class ZoneLookup {
        Set<String> zones;
        double at;
    }

    private final class NoteQueue implements Outbox {
        @Override
        public void send(String to, Note note) {
            enqueue(to, note);
        }

        @Override
        public void report(String text) {
            actions.report(text);
        }
    }

    private final Setup setup;
    private final Sharing sharing;
    private final long incarnation;
    private final Actions actions;
    private final EnvelopeFilter gate;
    private final Membership members;
    private final Budgets budgets;
    private final CallCounts counts;
    private final HealthEvidence health;
    private final Contracts contracts;
    private final Residency residency;
    private final RelayBookings booked;
    private final Ledger ledger; // at voters, if there is anything to agree on
    private final Follower follower; // at other members
    private final Proposer proposer;
    private final AgreedBookings agreedBookings = new AgreedBookings(); // the ledger's state machine
    private Bookings bookings; // as last agreed, null before that
    private final Map<Integer, DestinationState> destinationStates = new TreeMap<>();
    private final Map<String, EndpointState> endpoints = new LinkedHashMap<>();
    private final Map<TenantClass, ZoneLookup> zoneLookups = new LinkedHashMap<>();
    private final Map<String, Demand> tenants = new LinkedHashMap<>();
    private final Map<String, BookedCalls> bookedCalls = new LinkedHashMap<>(); // by destination and booking
    private final Map<String, List<Note>> outgoing = new LinkedHashMap<>();
    private double now;
    private double wallOffset; // wall clock minus our clock
    private double updateAt = Double.NEGATIVE_INFINITY;
    private double wakeAt = Double.POSITIVE_INFINITY;
    private double nextTickAt = Double.NEGATIVE_INFINITY;
    private double nextContractsAt = Double.NEGATIVE_INFINITY;
    private long contractVersion; // newest agreed version
    private List<Map<String, Contract>> contractVersions = List.of(); // agreed versions that are kept
    private long agreedVersion;
    private byte[] agreedState = EMPTY;
    private byte[] bookingsState = EMPTY;
    private boolean stopped; // stepped down, or left

    /**
     * Creates the state of a process that starts.
     *
     * @param incarnation higher than those of all earlier processes under this name
     * @param memory      the ledger that this voter has stored; null at other members or if nothing is agreed on
     * @param keeper      stores changes of the ledger, null if {@code memory} is
     * @param at          current time
     * @param epochMs     current wall clock time
     */
    public Fleet(
            Setup setup,
            Sharing sharing,
            long incarnation,
            long seed,
            LedgerState memory,
            LedgerStore keeper,
            double at,
            double epochMs,
            Actions actions) {
        this.setup = setup;
        this.sharing = sharing;
        this.incarnation = incarnation;
        this.actions = actions;
        now = at;
        wallOffset = epochMs - at;
        Random random = new Random(seed);
        NoteQueue queue = new NoteQueue();
        gate = new EnvelopeFilter(setup, incarnation);
        members = new Membership(setup, incarnation, new Random(random.nextLong()), queue);
        budgets = new Budgets(setup, incarnation, new Random(random.nextLong()), queue, at, sharing.retryRatio());
        counts = new CallCounts(setup, incarnation);
        health = new HealthEvidence(
                setup, incarnation, MAX_WAIT_MS, s -> s.startsWith("e:") && endpoints.containsKey(s.substring(2)));
        contracts = new Contracts(
                setup, at, epochMs, sharing.contractTermMs(), sharing.contracts(), sharing.tenants(), queue);
        residency = new Residency(setup, contracts, at, QUOTA_BURST_MS);
        booked = new RelayBookings(sharing.skewMs());
        Random ledgerRandom = new Random(random.nextLong());
        if (memory != null) {
            TreeMap<Integer, ReplicatedStateMachine> machines = new TreeMap<>();
            machines.put(LedgerStateMachines.CONTRACTS, new AgreedContracts(2 * sharing.contractTermMs()));
            machines.put(LedgerStateMachines.BOOKINGS, agreedBookings);
            ledger = new Ledger(
                    setup,
                    incarnation,
                    memory,
                    keeper,
                    new LedgerStateMachines(machines),
                    queue,
                    ledgerRandom,
                    this::onAgreed);
        } else {
            ledger = null;
        }
        boolean follows = memory == null && sharing.needsAgreement();
        follower = follows
                ? new Follower(setup, queue, ledgerRandom, this::onAgreed, FOLLOWER_POLL_MS, FOLLOWER_TIMEOUT_MS)
                : null;
        proposer = follows ? new Proposer(setup, incarnation, queue, ledgerRandom) : null;
    }

    // ---- events ----

    /** Starts to exchange notes. */
    public void start(double at) {
        now = at;
        double unbookable = sharing.bookings() ? 1 - sharing.bookable() : 1;
        double guaranteed = (double) setup.guaranteedParts() / Setup.WHOLE * unbookable;
        actions.share(-1, new Share(guaranteed, Double.POSITIVE_INFINITY, guaranteed, availableRetries("")));
        if (ledger != null) {
            ledger.start(at);
        }
        timer(at, at + wallOffset);
    }

    /** Sets the wall clock. */
    private void setWallClock(double epochMs) {
        wallOffset = epochMs - now;
        contracts.setWallClock(now, epochMs);
    }

    private long wallNow() {
        return (long) (now + wallOffset);
    }

    /**
     * An envelope of another relay has arrived.
     *
     * @throws Fault if it is dropped; {@link #drops} counts it
     */
    public void receive(double at, Envelope envelope) {
        now = Math.max(now, at);
        try {
            for (Note note : gate.accept(envelope)) {
                dispatchSafely(envelope, note);
            }
        } catch (Fault.NameTaken taken) {
            stepDown();
            throw taken;
        } finally {
            flush();
        }
    }

    /** An invalid note does not affect the others of its envelope. */
    private void dispatchSafely(Envelope envelope, Note note) {
        try {
            dispatch(envelope.from(), envelope.incarnation(), note);
        } catch (Fault fault) {
            gate.dropped(fault);
        }
    }

    private void dispatch(String from, long sender, Note note) {
        members.receive(now, from, sender, note);
        if (note instanceof Note.HealthReports n) {
            health.merge(now, from, n);
        } else if (note instanceof Note.Counts n) {
            counts.merge(now, n);
        } else if (note instanceof Note.LeaseRequest
                || note instanceof Note.LeaseAnswer
                || note instanceof Note.LeaseRelease
                || note instanceof Note.LoanRequest
                || note instanceof Note.Loan
                || note instanceof Note.LoanReturn
                || note instanceof Note.RetryTransfer) {
            budgets.onNote(now, from, sender, note);
        } else if (ledger != null) {
            if (note instanceof Note.ConsensusMessage
                    || note instanceof Note.Propose
                    || note instanceof Note.Proposed
                    || note instanceof Note.StateRequest
                    || note instanceof Note.StateChunk) {
                ledger.receive(now, from, note);
            }
        } else if (note instanceof Note.StateChunk n && follower != null) {
            follower.receive(now, from, n);
        } else if (note instanceof Note.Proposed n && proposer != null) {
            proposer.receive(now, from, n);
        }
    }

    /** Bytes arrived that could not be decoded. */
    public void dropped(Fault fault) {
        gate.dropped(fault);
    }

    /** Number of envelopes and notes dropped so far, by the code of the fault. */
    public Map<String, Long> drops() {
        return gate.counts();
    }

    /** Does what is due; may be called at any time. {@code epochMs} is the wall clock time. */
    public void timer(double at, double epochMs) {
        now = Math.max(now, at);
        setWallClock(epochMs);
        if (now >= wakeAt) {
            wakeAt = Double.POSITIVE_INFINITY;
        }
        double next = Math.min(members.timer(now), budgets.timer(now));
        health.timer(now);
        contracts.timer(now);
        if (ledger != null) {
            ledger.timer(now);
            next = Math.min(next, ledger.wakeAt());
        } else if (follower != null) {
            follower.timer(now);
            proposer.timer(now);
            next = Math.min(next, Math.min(follower.wakeAt(), proposer.wakeAt()));
        }
        update();
        wake(Math.min(Math.min(next, updateAt), nextShareExpiry()));
        flush();
    }

    /** When the first of the current shares expires: what applies from then on has to be passed on at once. */
    private double nextShareExpiry() {
        return destinationStates.values().stream()
                .filter(state -> state.lastShare != null && state.lastShare.until() > now)
                .mapToDouble(state -> state.lastShare.until())
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    private void wake(double at) {
        if (at < wakeAt) {
            wakeAt = at;
            actions.wake(Math.max(0, at - now));
        }
    }

    /** To be called before each round of the relay's own decisions, as a paused process must not use outdated state. */
    public void refresh(double at, double epochMs) {
        if (at >= updateAt) {
            timer(at, epochMs);
        } else {
            now = Math.max(now, at);
            recheckZones(); // the confirmation of contracts may just have expired
        }
    }

    private void update() {
        if (now < updateAt) {
            return;
        }
        updateAt = now + UPDATE_MS;
        budgets.alive(new LinkedHashSet<>(members.alive()));
        destinationStates.forEach((number, state) -> updateNeed(budget(number), state.demand, state.limit));
        updateBookings();
        updateQuotas();
        proposeTick();
        proposeContracts();
        publish();
        recheckZones();
    }

    private static String budget(int destination) {
        return "d:" + destination;
    }

    private static String budget(String booking) {
        return "b:" + booking;
    }

    /** @param whole calls per second of the whole budget, 0 if unknown */
    private void updateNeed(String budget, Demand demand, double whole) {
        if (whole > 0) {
            budgets.need(
                    now, budget, (int) Math.min(Setup.WHOLE, DEMAND_HEADROOM * demand.perS(now) / whole * Setup.WHOLE));
        }
    }

    // ---- messages and calls ----

    /** A message for a destination was accepted. */
    public void accepted(double at, int destination) {
        DestinationState state = destinationStates.get(destination);
        if (state != null) {
            now = Math.max(now, at);
            state.demand.add(now);
        }
    }

    /** Sets the destinations and endpoints that are listed; all others are removed. */
    public void setListed(double at, Set<Integer> destinations, Set<String> endpointNames) {
        now = Math.max(now, at);
        destinationStates.keySet().retainAll(destinations);
        destinations.forEach(d -> destinationStates.computeIfAbsent(d, k -> new DestinationState()));
        endpoints.keySet().retainAll(endpointNames);
        endpointNames.forEach(e -> endpoints.computeIfAbsent(e, k -> new EndpointState()));
        updateAt = Math.min(updateAt, now);
        wake(now);
    }

    /** A call has started. */
    public void callStarted(double at, int destination, boolean retry) {
        now = Math.max(now, at);
        String name = String.valueOf(destination);
        if (!retry) {
            budgets.onFirstAttempt(name);
        } else if (sharing.retryRatio() > 0) {
            budgets.spendRetry(name);
        }
        counts.add(now, budget(destination), 1);
    }

    /**
     * A call has ended.
     *
     * @param answered whether the endpoint confirmed the delivery
     * @param failed   whether it failed, was reset, did not connect or timed out
     * @param waitMs   the wait that the endpoint requested, 0 if none
     * @param limit    the limit that it reported, calls per second; NaN if none
     */
    public void callEnded(
            double at,
            int destination,
            String endpoint,
            boolean answered,
            boolean failed,
            double waitMs,
            double limit) {
        now = Math.max(now, at);
        DestinationState state = destinationStates.get(destination);
        if (state != null && limit > 0) {
            state.limit = limit;
        }
        EndpointState endpointState = endpoints.get(endpoint);
        if (endpointState == null) {
            return;
        }
        String subject = "e:" + endpoint;
        if (waitMs > 0) {
            health.observe(now, subject, Note.Observation.WAIT, 1, Math.min(waitMs, MAX_WAIT_MS));
        }
        if (answered) {
            endpointState.failures = 0;
            health.observe(now, subject, Note.Observation.ANSWERS, 1, ANSWERS_HOLD_MS);
        } else if (failed && ++endpointState.failures >= MIN_FAILURES) {
            health.observe(now, subject, Note.Observation.FAILS, endpointState.failures, FAILURES_HOLD_MS);
        }
        if (!answered && sharing.retryRatio() > 0 && budgets.availableRetries(String.valueOf(destination)) == 0) {
            budgets.requestRetries(String.valueOf(destination));
        }
    }

    // ---- results for the relay's own decisions ----

    private int availableRetries(String destination) {
        return sharing.retryRatio() > 0 ? budgets.availableRetries(destination) : Integer.MAX_VALUE;
    }

    private void publish() {
        destinationStates.forEach((number, state) -> {
            Share share = share(number, state);
            if (!share.equals(state.lastShare)) {
                state.lastShare = share;
                actions.share(number, share);
            }
        });
        endpoints.forEach((name, state) -> {
            double wait = health.waitUntil(now, "e:" + name);
            boolean avoid = health.isDown(now, "e:" + name);
            if (wait > Math.max(now, state.waitReported) || avoid || state.avoidReported) {
                state.waitReported = Math.max(wait, state.waitReported);
                state.avoidReported = avoid;
                actions.warned(name, wait, avoid ? now + 2 * UPDATE_MS : Double.NEGATIVE_INFINITY);
            }
        });
    }

    private Share share(int number, DestinationState state) {
        Allocation allocation = budgets.allocation(now, budget(number));
        int retriesLeft = availableRetries(String.valueOf(number));
        double parts = (double) allocation.parts() / Setup.WHOLE;
        double guaranteed = (double) allocation.guaranteed() / Setup.WHOLE;
        if (!sharing.bookings()) {
            return new Share(parts, allocation.until(), guaranteed, retriesLeft);
        }
        double unbookable = 1 - sharing.bookable();
        double ordinary = state.limit > 0
                ? booked.ordinaryRate(wallNow(), number, state.limit, sharing.bookable()) / state.limit
                : unbookable;
        double borrowed = state.limit > 0
                ? booked.borrowableRate(now, wallNow(), number, id -> budgets.allocation(now, budget(id))
                                .parts())
                        / state.limit
                : 0;
        return new Share(
                parts * ordinary + borrowed,
                Math.min(allocation.until(), now + WALL_SHARE_TTL_MS),
                guaranteed * unbookable,
                retriesLeft);
    }

    // ---- tenants ----

    /**
     * Decides whether a message may be accepted, and returns its constraints. Nothing of it may be stored before.
     *
     * @param tenant  the tenant that the client named, or null
     * @param booking the booking to use, or null
     * @throws Fault if the message is rejected
     */
    public Terms admit(double at, String tenant, String messageClass, int destination, String booking) {
        now = Math.max(now, at);
        if (booking != null && !sharing.bookings()) {
            throw new Fault.UnknownBooking(booking);
        }
        if (tenant != null && contracts.hasContract(tenant)) {
            tenants.computeIfAbsent(tenant, t -> new Demand()).add(now); // demand includes what exceeds the quota
        }
        if (booking != null && booked.team(booking) == null && booked.covers(wallNow())) {
            throw new Fault.UnknownBooking(booking);
        }
        Optional<Set<String>> zones = residency.admit(now, tenant, messageClass);
        BookedCapacity lane = booking == null ? null : bucketOf(booking, destination);
        if (bookedCalls.containsKey(bookedCallsKey(booking, destination))) {
            bookedCalls.get(bookedCallsKey(booking, destination)).demand.add(now);
            booked.recordCalls(now, booking, destination, 1);
        }
        zones.ifPresent(z -> rememberZones(tenant, messageClass, z));
        return new Terms(zones.orElse(null), lane);
    }

    /** The constraints of a message that was accepted before. */
    public Terms terms(double at, String tenant, String messageClass, int destination, String booking) {
        now = Math.max(now, at);
        Optional<Set<String>> zones = residency.zones(now, tenant, messageClass);
        zones.ifPresent(z -> rememberZones(tenant, messageClass, z));
        return new Terms(zones.orElse(null), booking == null ? null : bucketOf(booking, destination));
    }

    private void rememberZones(String tenant, String messageClass, Set<String> zones) {
        if (zoneLookups.size() < MAX_ZONE_LOOKUPS || zoneLookups.containsKey(new TenantClass(tenant, messageClass))) {
            ZoneLookup lookup =
                    zoneLookups.computeIfAbsent(new TenantClass(tenant, messageClass), key -> new ZoneLookup());
            lookup.zones = zones;
            lookup.at = now;
        }
    }

    private void recheckZones() {
        boolean changed = false;
        for (Map.Entry<TenantClass, ZoneLookup> e : zoneLookups.entrySet()) {
            Set<String> zones = residency
                    .zones(now, e.getKey().tenant(), e.getKey().messageClass())
                    .orElse(null);
            changed |= !e.getValue().zones.equals(zones);
        }
        zoneLookups.values().removeIf(lookup -> now - lookup.at > ZONES_TTL_MS);
        if (changed) {
            zoneLookups.clear(); // those still in use are looked up again
            actions.recheckZones();
        }
    }

    private void updateQuotas() {
        tenants.keySet().removeIf(t -> !contracts.hasContract(t));
        tenants.forEach((tenant, demand) -> {
            String budget = Residency.budget(tenant);
            updateNeed(budget, demand, contracts.quota(tenant));
            Allocation allocation = budgets.allocation(now, budget);
            residency.setQuotaShare(now, tenant, allocation.parts(), allocation.until(), allocation.guaranteed());
        });
    }

    // ---- bookings ----

    private static String bookedCallsKey(String booking, int destination) {
        return destination + " " + booking;
    }

    /** The token bucket of a booking; one that stays empty if the booking is unknown here. */
    private BookedCapacity bucketOf(String booking, int destination) {
        if (booked.team(booking) == null) {
            return new BookingTokenBucket(now);
        }
        BookedCalls calls =
                bookedCalls.computeIfAbsent(bookedCallsKey(booking, destination), k -> new BookedCalls(now));
        updateBucket(calls.bucket, booking, destination);
        return calls.bucket;
    }

    private void updateBookings() {
        bookedCalls.keySet().removeIf(k -> booked.team(k.substring(k.indexOf(' ') + 1)) == null);
        bookedCalls.forEach((key, calls) -> {
            int space = key.indexOf(' ');
            int destination = Integer.parseInt(key.substring(0, space));
            String booking = key.substring(space + 1);
            long sent = calls.bucket.takeSent();
            if (sent > 0) {
                counts.add(now, budget(booking), sent);
            }
            updateNeed(budget(booking), calls.demand, booked.fleetRate(booking, destination));
            updateBucket(calls.bucket, booking, destination);
        });
    }

    private void updateBucket(BookingTokenBucket bucket, String booking, int destination) {
        Allocation allocation = budgets.allocation(now, budget(booking));
        double rate = booked.rate(wallNow(), booking, booked.team(booking), destination, allocation.parts());
        bucket.setRate(now, rate, Math.min(allocation.until(), now + WALL_SHARE_TTL_MS));
    }

    /** The ledger's clock advances only with operations: the leader proposes them often enough for sealing bookings. */
    private void proposeTick() {
        if (ledger == null || !ledger.isLeader() || now < nextTickAt || !sharing.bookings()) {
            return;
        }
        Bookings b = agreedBookings.bookings();
        double due = b.time() + b.rules().sealBeforeMs() / TICKS_PER_SEAL;
        if (b.time() == 0 || wallNow() >= Math.min(b.nextDueMs(), due)) {
            nextTickAt = now + PROPOSAL_PAUSE_MS;
            ledger.propose(now, AgreedBookings.operation(wallNow(), new Operation.Tick()), o -> {});
        }
    }

    /** The leader proposes the contracts of the settings file if they are the next version after the agreed ones. */
    private void proposeContracts() {
        if (ledger == null
                || !ledger.isLeader()
                || now < nextContractsAt
                || !sharing.tenants()
                || sharing.contractVersion() != contractVersion + 1) {
            return;
        }
        nextContractsAt = now + PROPOSAL_PAUSE_MS;
        try {
            Contract.checkKeepsGuarantees(contractVersions, sharing.contracts());
        } catch (Fault fault) {
            nextContractsAt = Double.POSITIVE_INFINITY; // until a restart with other contracts
            actions.report(fault.line());
            return;
        }
        ledger.propose(
                now,
                AgreedContracts.put(contractVersion, wallNow(), ContractJson.write(sharing.contracts())),
                o -> actions.report(
                        "contracts, version " + sharing.contractVersion() + ": " + ContractJson.describe(o)));
    }

    /** A new state was agreed, or the current one was confirmed. */
    private void onAgreed(long version, byte[] state, boolean confirmed, double askedAt) {
        if (state.length == 0) {
            return;
        }
        agreedVersion = version;
        agreedState = state;
        Map<Integer, byte[]> parts = LedgerStateMachines.parts(state);
        List<Map<String, Contract>> all = new ArrayList<>();
        for (AgreedContracts.Version v : AgreedContracts.read(parts.get(LedgerStateMachines.CONTRACTS))) {
            all.add(ContractJson.read(v.contracts()));
            contracts.acceptVersion(now, v.number(), all.get(all.size() - 1), true);
            contractVersion = Math.max(contractVersion, v.number());
        }
        contractVersions = all;
        if (confirmed) {
            contracts.confirmed(now, askedAt, contractVersion);
        }
        byte[] bytes = parts.get(LedgerStateMachines.BOOKINGS);
        if (sharing.bookings() && !Arrays.equals(bytes, bookingsState)) {
            bookingsState = bytes;
            bookings = Bookings.restore(bytes);
            booked.acceptVersion(bookings.sealedSet(bookings.time()));
        }
        updateAt = Math.min(updateAt, now);
    }

    /** Whether this voter is the leader as far as it knows. */
    public boolean leads() {
        return ledger != null && ledger.isLeader();
    }

    /** Version of the newest agreed state known here; 0 if none. */
    public long agreedVersion() {
        return agreedVersion;
    }

    /** The agreed state, to be read by {@link LedgerStateMachines#parts}; empty if none. */
    public byte[] agreedState() {
        return agreedState.clone();
    }

    /** A booking as last agreed, as JSON. */
    public byte[] booking(String id) {
        Booking b = bookings == null ? null : bookings.booking(id);
        if (b == null) {
            throw new Fault.UnknownBooking(id);
        }
        return Operations.writeBooking(b);
    }

    /** Calls on a booking of the whole fleet in the last {@code spanMs}, and how many relays reported them. */
    public Total callsUsed(double at, String id, double spanMs) {
        return counts.total(Math.max(now, at), budget(id), spanMs);
    }

    /**
     * Proposes operations on bookings, one after the other.
     *
     * @param done receives the outcome of the last one, or of the first that was not agreed
     * @throws Fault.NotNow if bookings are disabled or this process has stopped
     */
    public void book(double at, List<Operation> operations, Consumer<Outcome> done) {
        now = Math.max(now, at);
        if (!sharing.bookings() || stopped) {
            throw new Fault.NotNow(MAX_WAIT_MS);
        }
        propose(operations, 0, done);
        flush();
    }

    private void propose(List<Operation> operations, int next, Consumer<Outcome> done) {
        byte[] operation = AgreedBookings.operation(wallNow(), operations.get(next));
        Consumer<Outcome> then = o -> {
            if (o instanceof Outcome.Committed && next + 1 < operations.size()) {
                propose(operations, next + 1, done);
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

    // ---- shutdown ----

    private void stepDown() {
        if (!stopped) {
            stopped = true;
            members.nameTaken();
            budgets.stepDown(now);
            if (ledger != null) {
                ledger.stop(now);
            }
        }
    }

    /** The process shuts down in order: what it holds is released at once, and the others are notified. */
    public void leave(double at) {
        now = Math.max(now, at);
        if (!stopped) {
            stopped = true;
            budgets.leave(now);
            if (ledger != null) {
                ledger.transferLeadership(now);
            }
            members.leave();
            flush();
        }
    }

    // ---- outgoing notes ----

    private void enqueue(String to, Note note) {
        List<Note> notes = outgoing.computeIfAbsent(to, k -> new ArrayList<>());
        notes.add(note);
        if (note instanceof Note.Hello || note instanceof Note.HelloAnswer) {
            List<Note.HealthReport> signs = health.nextToSend(now, SIGNS_PER_HELLO);
            if (!signs.isEmpty()) {
                notes.add(new Note.HealthReports(signs));
            }
            Note.Counts callCounts = counts.recent(now, SECONDS_PER_HELLO);
            if (!callCounts.counts().isEmpty()) {
                notes.add(callCounts);
            }
        }
    }

    /** Sends all notes of one event to one member in one envelope. */
    private void flush() {
        publish(); // parts that a note lends or returns must be out of use before it is sent
        Map<String, List<Note>> all = new LinkedHashMap<>(outgoing);
        outgoing.clear();
        all.forEach((to, notes) -> actions.send(new Envelope(
                setup.fleet(), Envelope.VERSION, setup.self(), incarnation, to, gate.seen(to), List.copyOf(notes))));
    }

    /** How many members are considered alive, including this one. */
    public int liveMembers() {
        return members.alive().size() + 1;
    }

    /** Whether a majority of the voters is reachable. */
    public boolean hasQuorum(double at) {
        return budgets.holdsOwnLease(Math.max(now, at));
    }

    /** Whether this process has stepped down, because a later one has its name, or has left. */
    public boolean isStopped() {
        return stopped;
    }

    /** What may be used of a destination's limit now. */
    public Allocation allocation(double at, int destination) {
        return budgets.allocation(Math.max(now, at), budget(destination));
    }
}
