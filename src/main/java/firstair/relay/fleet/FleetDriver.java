package firstair.relay.fleet;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import firstair.config.Values;
import firstair.control.Controller.Outcome;
import firstair.control.Controller.Result;
import firstair.control.Controller.Share;
import firstair.fleet.Fleet;
import firstair.fleet.Terms;
import firstair.fleet.booking.Operation;
import firstair.fleet.booking.Operations;
import firstair.fleet.count.Total;
import firstair.fleet.fault.Fault;
import firstair.fleet.ledger.LedgerState;
import firstair.fleet.talk.Codec;
import firstair.fleet.talk.Envelope;
import firstair.relay.Config;
import firstair.relay.ConfigException;
import firstair.relay.FleetPeers;
import firstair.relay.Loop;
import firstair.relay.clients.BookingRequest;
import firstair.relay.clients.ResponseStatus;
import firstair.relay.discovery.Zones;
import firstair.relay.store.BootClock;
import firstair.relay.store.LedgerFile;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.logging.Logger;

/**
 * Connects one {@link Fleet} to sockets, clocks, files and the relay. Makes no decisions itself. All methods run on the
 * loop's thread.
 */
public final class FleetDriver implements FleetPeers, Fleet.Actions {
    private static final Logger LOG = Logger.getLogger(FleetDriver.class.getName());
    private static final String INCARNATION_FILE = "incarnation";
    private static final double WARNING_INTERVAL_MS = 60_000;
    private static final double USAGE_SPAN_MS = 60_000;
    private static final int LEDGER_REWRITE_BYTES = 1 << 20;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final FleetConfig config;
    private final Loop loop;
    private final Listener listener;
    private final CalendarClock calendarClock = new CalendarClock(BootClock.SYSTEM);
    private final Zones zones;
    private final Codec codec = new Codec();
    private final Fleet fleet;
    private final PeerTransport wire;
    private final LedgerFile ledger; // null unless this relay is a voter of a ledger
    private final Map<String, Double> lastWarningAt = new HashMap<>(); // by fault code
    private Loop.Timer timer;
    private double timerAt = Double.POSITIVE_INFINITY;

    /**
     * Creates the driver for the configured fleet, or {@link FleetPeers#NONE} if there is none.
     *
     * @throws ConfigException if the settings are invalid
     * @throws IOException     if the address or the folder cannot be used
     */
    public static FleetPeers of(Config config, Values localSettings, Loop loop, Listener listener) throws IOException {
        FleetConfig fleet = FleetConfig.of(localSettings, config);
        if (fleet == null) {
            return NONE;
        }
        try {
            return new FleetDriver(fleet, config, loop, listener);
        } catch (Fault fault) {
            throw new ConfigException(List.of(fault.line()));
        }
    }

    private FleetDriver(FleetConfig fleetConfig, Config relay, Loop loop, Listener listener) throws IOException {
        config = fleetConfig;
        this.loop = loop;
        this.listener = listener;
        zones = relay.zones();
        String self = config.setup().self();
        boolean isVoter =
                config.sharing().needsAgreement() && config.setup().voters().contains(self);
        ledger = isVoter
                ? LedgerFile.open(
                        relay.state(),
                        config.setup().fleet(),
                        self,
                        config.setup().voters(),
                        config.first(),
                        LEDGER_REWRITE_BYTES)
                : null;
        LedgerState memory = ledger == null ? null : ledger.memory();
        fleet = new Fleet(
                config.setup(),
                config.sharing(),
                incarnation(relay.state()),
                relay.seed(),
                memory,
                ledger,
                loop.now(),
                calendarClock.nowMs(),
                this);
        wire = new PeerTransport(
                loop,
                config.listen(),
                config.addresses(),
                PeerTransport.Bounds.of(config.setup().members().size()),
                this::receive);
    }

    /** Returns a number higher than that of the previous process, even if the wall clock was set back since. */
    private static long incarnation(Path folder) throws IOException {
        Files.createDirectories(folder);
        Path file = folder.resolve(INCARNATION_FILE);
        long last = 0;
        if (Files.exists(file)) {
            try {
                last = Long.parseLong(Files.readString(file).strip());
            } catch (NumberFormatException | IOException e) {
                LOG.warning("the file " + file + " cannot be read, the wall clock takes its place: " + e);
            }
        }
        long next = Math.max(last + 1, System.currentTimeMillis());
        Path temporary = folder.resolve(INCARNATION_FILE + ".tmp");
        Files.writeString(temporary, Long.toString(next));
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        return next;
    }

    // ---- sockets and clocks ----

    private void receive(byte[] bytes) {
        Envelope envelope;
        try {
            envelope = codec.read(bytes);
        } catch (Fault fault) {
            fleet.dropped(fault);
            warn(fault);
            return;
        }
        try {
            fleet.receive(loop.now(), envelope);
        } catch (Fault fault) {
            warn(fault);
        }
    }

    /** Logs a fault, at most once a minute for each code, because anybody can cause them by sending to this address. */
    private void warn(Fault fault) {
        double now = loop.now();
        Double last = lastWarningAt.get(fault.code());
        if (last == null || now - last >= WARNING_INTERVAL_MS) {
            lastWarningAt.put(fault.code(), now);
            LOG.warning("fleet: " + fault.line() + " (" + fleet.drops().getOrDefault(fault.code(), 1L) + " so far)");
        }
    }

    @Override
    public void send(Envelope envelope) {
        for (Envelope part : codec.split(envelope, PeerTransport.MAX_DATAGRAM_BYTES)) {
            wire.send(part.to(), codec.write(part));
        }
    }

    @Override
    public void wake(double inMs) {
        double at = loop.now() + inMs;
        if (at < timerAt) {
            if (timer != null) {
                timer.cancel();
            }
            timerAt = at;
            timer = loop.after(inMs, this::runTimer);
        }
    }

    private void runTimer() {
        timer = null;
        timerAt = Double.POSITIVE_INFINITY;
        fleet.timer(loop.now(), calendarClock.nowMs());
    }

    @Override
    public void share(int destination, Share share) {
        listener.share(destination, share);
    }

    @Override
    public void warned(String endpoint, double waitUntil, double avoidUntil) {
        listener.peerWarning(endpoint, waitUntil, avoidUntil);
    }

    @Override
    public void recheckZones() {
        listener.restrictionsChanged();
    }

    @Override
    public void report(String text) {
        LOG.info("fleet: " + text);
    }

    // ---- calls from the relay ----

    @Override
    public boolean enabled() {
        return true;
    }

    @Override
    public void start() {
        LOG.info("fleet " + config.setup().fleet() + ": " + config.setup().self() + " of "
                + config.setup().members().size() + ", at " + wire.address());
        fleet.start(loop.now());
    }

    @Override
    public void refresh() {
        fleet.refresh(loop.now(), calendarClock.nowMs());
    }

    @Override
    public Admission admit(String tenant, String className, int destination, String booking) {
        try {
            return admission(fleet.admit(loop.now(), tenant, className, destination, booking));
        } catch (Fault.TenantQuota fault) {
            return refusal(ResponseStatus.TOO_MANY_REQUESTS, fault.afterMs(), fault);
        } catch (Fault.OutsideContract fault) {
            return refusal(SERVICE_UNAVAILABLE, 0, fault); // another relay may accept it, or this one later
        } catch (Fault fault) {
            return refusal(BAD_REQUEST, 0, fault);
        }
    }

    private static Admission refusal(int status, double afterMs, Fault fault) {
        return new Admission(status, afterMs, fault.line().replaceAll("[^ -~]", "?"), null, null);
    }

    @Override
    public Admission restrictions(String tenant, String className, int destination, String booking) {
        return admission(fleet.terms(loop.now(), tenant, className, destination, booking));
    }

    private Admission admission(Terms terms) {
        Set<Integer> zoneNumbers = null;
        if (terms.zones() != null) {
            zoneNumbers = new TreeSet<>();
            for (String zone : terms.zones()) {
                zoneNumbers.add(zones.number(zone));
            }
        }
        return zoneNumbers == null && terms.lane() == null
                ? Admission.UNRESTRICTED
                : new Admission(0, 0, null, zoneNumbers, terms.lane());
    }

    @Override
    public void accepted(int destination) {
        fleet.accepted(loop.now(), destination);
    }

    @Override
    public void called(int destination, boolean repeat) {
        fleet.callStarted(loop.now(), destination, repeat);
    }

    @Override
    public void ended(int destination, Outcome outcome) {
        boolean failed = outcome.result() == Result.ERROR
                || outcome.result() == Result.TIMEOUT
                || outcome.result() == Result.RESET
                || outcome.result() == Result.CONNECT_FAILED;
        fleet.callEnded(
                loop.now(),
                destination,
                outcome.endpoint(),
                outcome.result() == Result.OK,
                failed,
                outcome.waitMs(),
                outcome.load().limitPerS());
    }

    @Override
    public void listUpdated(Set<Integer> destinations, Set<String> endpoints) {
        fleet.setListed(loop.now(), destinations, endpoints);
    }

    @Override
    public void leave() {
        fleet.leave(loop.now());
    }

    @Override
    public void close() {
        wire.close();
        if (ledger != null) {
            try {
                ledger.close();
            } catch (IOException e) {
                LOG.warning("fleet: the ledger was not closed: " + e);
            }
        }
    }

    // ---- bookings ----

    @Override
    public boolean bookingsEnabled() {
        return config.sharing().bookings();
    }

    @Override
    public void handleBooking(BookingRequest request) {
        try {
            if (request.method().equals("GET")) {
                request.respond(200, 0, describe(request.booking()));
                return;
            }
            List<Operation> operations =
                    Operations.readAll(operationJson(request), config.calendars(), calendarClock.nowMs());
            if (operations.isEmpty()) {
                throw new Fault.BadRequest("repeat", "no time that could still be asked for");
            }
            fleet.book(loop.now(), operations, outcome -> answer(request, outcome));
        } catch (Fault fault) {
            answer(request, fault);
        }
    }

    private String describe(String id) {
        JsonObject booking = JsonParser.parseString(new String(fleet.booking(id), StandardCharsets.UTF_8))
                .getAsJsonObject();
        Total used = fleet.callsUsed(loop.now(), id, USAGE_SPAN_MS);
        JsonObject calls = new JsonObject();
        calls.addProperty("calls", used.sum());
        calls.addProperty("spanMs", USAGE_SPAN_MS);
        calls.addProperty("relays", used.relays());
        calls.addProperty("ofRelays", used.ofRelays());
        calls.addProperty("oldestMs", used.oldestMs());
        booking.add("used", calls);
        return booking.toString();
    }

    /** The request's JSON, completed by the kind and the id that its method and path imply. */
    private static byte[] operationJson(BookingRequest request) {
        JsonObject operation = new JsonObject();
        try {
            JsonElement read = request.body().length == 0
                    ? operation
                    : JsonParser.parseString(new String(request.body(), StandardCharsets.UTF_8));
            if (!read.isJsonObject()) {
                throw new Fault.BadRequest("body", "no JSON object");
            }
            operation = read.getAsJsonObject();
        } catch (JsonParseException e) {
            throw new Fault.BadRequest("body", "no JSON");
        }
        if (!operation.has("kind")) {
            operation.addProperty("kind", request.method().equals("PUT") ? "put" : "end");
        }
        if (!operation.has("id")
                && !KINDS_WITHOUT_ID.contains(operation.get("kind").toString())) {
            operation.addProperty("id", request.booking());
        }
        return operation.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static final Set<String> KINDS_WITHOUT_ID =
            Set.of("\"limit\"", "\"set-team\"", "\"set-destination\"", "\"set-rules\"");

    private static void answer(BookingRequest request, firstair.fleet.ledger.Outcome outcome) {
        if (outcome instanceof firstair.fleet.ledger.Outcome.Committed agreed) {
            String booking = new String(agreed.result(), StandardCharsets.UTF_8);
            request.respond(200, 0, booking.isEmpty() ? "{}" : booking);
        } else if (outcome instanceof firstair.fleet.ledger.Outcome.Refused refused) {
            request.respond(status(refused.code()), 0, json(refused.code(), refused.what(), refused.step()));
        } else if (outcome instanceof firstair.fleet.ledger.Outcome.NotNow notNow) {
            answer(request, notNow.fault());
        }
    }

    private static void answer(BookingRequest request, Fault fault) {
        double afterMs = fault instanceof Fault.NotNow notNow ? notNow.afterMs() : 0;
        request.respond(
                fault instanceof Fault.NotNow ? SERVICE_UNAVAILABLE : status(fault.code()),
                afterMs,
                json(fault.code(), fault.getMessage(), fault.step()));
    }

    private static int status(String code) {
        return switch (code) {
            case "F401", "F412", "F503" -> BAD_REQUEST;
            case "F402" -> NOT_FOUND;
            default -> CONFLICT;
        };
    }

    private static String json(String code, String what, String step) {
        JsonObject error = new JsonObject();
        error.addProperty("code", code);
        error.addProperty("what", what);
        error.addProperty("step", step);
        return error.toString();
    }
}
