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
import firstair.fleet.ledger.LedgerMemory;
import firstair.fleet.talk.Codec;
import firstair.fleet.talk.Envelope;
import firstair.relay.Config;
import firstair.relay.ConfigException;
import firstair.relay.FleetPeers;
import firstair.relay.Loop;
import firstair.relay.clients.BookingRequest;
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
 * Drives one {@link Fleet}: its sockets, clocks, files and the way to the relay. It decides nothing. All methods run
 * on the loop's thread.
 */
public final class FleetDriver implements FleetPeers, Fleet.Actions {
    private static final Logger LOG = Logger.getLogger(FleetDriver.class.getName());
    private static final String INCARNATION = "incarnation";
    private static final double TOLD_AGAIN_MS = 60_000;
    private static final double USED_MS = 60_000;
    private static final int LEDGER_BYTES = 1 << 20;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int OVER_QUOTA = 429;
    private static final int NOT_NOW = 503;

    private final FleetConfig config;
    private final Loop loop;
    private final Listener listener;
    private final CalendarClock calendar = new CalendarClock(BootClock.SYSTEM);
    private final Zones zones;
    private final Codec codec = new Codec();
    private final Fleet fleet;
    private final PeerWire wire;
    private final LedgerFile ledger; // null where this relay votes on nothing
    private final Map<String, Double> toldAt = new HashMap<>(); // of what was dropped, by code
    private Loop.Timer timer;
    private double timerAt = Double.POSITIVE_INFINITY;

    /**
     * The fleet as the settings have it, or nobody.
     *
     * @throws ConfigException if the settings cannot be used
     * @throws IOException     if the address or the folder cannot be had
     */
    public static FleetPeers of(Config config, Values own, Loop loop, Listener listener) throws IOException {
        FleetConfig fleet = FleetConfig.of(own, config);
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
        boolean votes = config.sharing().agrees() && config.setup().voters().contains(self);
        ledger = votes
                ? LedgerFile.open(
                        relay.state(),
                        config.setup().fleet(),
                        self,
                        config.setup().voters(),
                        config.first(),
                        LEDGER_BYTES)
                : null;
        LedgerMemory memory = ledger == null ? null : ledger.memory();
        fleet = new Fleet(
                config.setup(),
                config.sharing(),
                incarnation(relay.state()),
                relay.seed(),
                memory,
                ledger,
                loop.now(),
                calendar.nowMs(),
                this);
        wire = new PeerWire(
                loop,
                config.listen(),
                config.addresses(),
                PeerWire.Bounds.of(config.setup().members().size()),
                this::bytes);
    }

    /** Higher than that of the process before, also where the wall clock has gone back meanwhile. */
    private static long incarnation(Path folder) throws IOException {
        Files.createDirectories(folder);
        Path file = folder.resolve(INCARNATION);
        long last = 0;
        if (Files.exists(file)) {
            try {
                last = Long.parseLong(Files.readString(file).strip());
            } catch (NumberFormatException | IOException e) {
                LOG.warning("the file " + file + " cannot be read, the wall clock takes its place: " + e);
            }
        }
        long next = Math.max(last + 1, System.currentTimeMillis());
        Path draft = folder.resolve(INCARNATION + ".tmp");
        Files.writeString(draft, Long.toString(next));
        Files.move(draft, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        return next;
    }

    // ---- sockets and clocks ----

    private void bytes(byte[] bytes) {
        Envelope envelope;
        try {
            envelope = codec.read(bytes);
        } catch (Fault fault) {
            fleet.dropped(fault);
            tell(fault);
            return;
        }
        try {
            fleet.heard(loop.now(), envelope);
        } catch (Fault fault) {
            tell(fault);
        }
    }

    /** Anybody may send anything: a line a minute for each kind is enough. */
    private void tell(Fault fault) {
        double now = loop.now();
        Double last = toldAt.get(fault.code());
        if (last == null || now - last >= TOLD_AGAIN_MS) {
            toldAt.put(fault.code(), now);
            LOG.warning("fleet: " + fault.line() + " (" + fleet.drops().getOrDefault(fault.code(), 1L) + " so far)");
        }
    }

    @Override
    public void send(Envelope envelope) {
        for (Envelope e : codec.split(envelope, PeerWire.DATAGRAM)) {
            wire.send(e.to(), codec.write(e));
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
            timer = loop.after(inMs, this::due);
        }
    }

    private void due() {
        timer = null;
        timerAt = Double.POSITIVE_INFINITY;
        fleet.timer(loop.now(), calendar.nowMs());
    }

    @Override
    public void share(int destination, Share share) {
        listener.share(destination, share);
    }

    @Override
    public void warned(String endpoint, double waitUntil, double avoidUntil) {
        listener.warned(endpoint, waitUntil, avoidUntil);
    }

    @Override
    public void confine() {
        listener.confine();
    }

    @Override
    public void report(String text) {
        LOG.info("fleet: " + text);
    }

    // ---- what the relay asks and tells ----

    @Override
    public boolean talk() {
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
        fleet.refresh(loop.now(), calendar.nowMs());
    }

    @Override
    public Admission admit(String tenant, String className, int destination, String booking) {
        try {
            return admission(fleet.admit(loop.now(), tenant, className, destination, booking));
        } catch (Fault.TenantQuota fault) {
            return refusal(OVER_QUOTA, fault.afterMs(), fault);
        } catch (Fault.OutsideContract fault) {
            return refusal(NOT_NOW, 0, fault); // nothing is kept here: elsewhere, or later, it may be
        } catch (Fault fault) {
            return refusal(BAD_REQUEST, 0, fault);
        }
    }

    private static Admission refusal(int status, double afterMs, Fault fault) {
        return new Admission(status, afterMs, fault.line().replaceAll("[^ -~]", "?"), null, null);
    }

    @Override
    public Admission terms(String tenant, String className, int destination, String booking) {
        return admission(fleet.terms(loop.now(), tenant, className, destination, booking));
    }

    private Admission admission(Terms terms) {
        Set<Integer> numbers = null;
        if (terms.zones() != null) {
            numbers = new TreeSet<>();
            for (String zone : terms.zones()) {
                numbers.add(zones.number(zone));
            }
        }
        return numbers == null && terms.lane() == null
                ? Admission.FREE
                : new Admission(0, 0, null, numbers, terms.lane());
    }

    @Override
    public void taken(int destination) {
        fleet.taken(loop.now(), destination);
    }

    @Override
    public void called(int destination, boolean repeat) {
        fleet.called(loop.now(), destination, repeat);
    }

    @Override
    public void ended(int destination, Outcome o) {
        boolean failed = o.result() == Result.ERROR
                || o.result() == Result.TIMEOUT
                || o.result() == Result.RESET
                || o.result() == Result.CONNECT_FAILED;
        fleet.ended(
                loop.now(),
                destination,
                o.endpoint(),
                o.result() == Result.OK,
                failed,
                o.waitMs(),
                o.load().limitPerS());
    }

    @Override
    public void listed(Set<Integer> destinations, Set<String> endpoints) {
        fleet.listed(loop.now(), destinations, endpoints);
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
    public boolean books() {
        return config.sharing().bookings();
    }

    @Override
    public void ask(BookingRequest ask) {
        try {
            if (ask.method().equals("GET")) {
                ask.answer(200, 0, shown(ask.booking()));
                return;
            }
            List<Operation> operations = Operations.readAll(text(ask), config.calendars(), calendar.nowMs());
            if (operations.isEmpty()) {
                throw new Fault.BadRequest("repeat", "no time that could still be asked for");
            }
            fleet.book(loop.now(), operations, o -> answer(ask, o));
        } catch (Fault fault) {
            answer(ask, fault);
        }
    }

    private String shown(String id) {
        JsonObject shown = JsonParser.parseString(new String(fleet.booking(id), StandardCharsets.UTF_8))
                .getAsJsonObject();
        Total used = fleet.used(loop.now(), id, USED_MS);
        JsonObject calls = new JsonObject();
        calls.addProperty("calls", used.sum());
        calls.addProperty("spanMs", USED_MS);
        calls.addProperty("relays", used.relays());
        calls.addProperty("ofRelays", used.ofRelays());
        calls.addProperty("oldestMs", used.oldestMs());
        shown.add("used", calls);
        return shown.toString();
    }

    /** The request with what its method and path say. */
    private static byte[] text(BookingRequest ask) {
        JsonObject o = new JsonObject();
        try {
            JsonElement read =
                    ask.body().length == 0 ? o : JsonParser.parseString(new String(ask.body(), StandardCharsets.UTF_8));
            if (!read.isJsonObject()) {
                throw new Fault.BadRequest("body", "no JSON object");
            }
            o = read.getAsJsonObject();
        } catch (JsonParseException e) {
            throw new Fault.BadRequest("body", "no JSON");
        }
        if (!o.has("kind")) {
            o.addProperty("kind", ask.method().equals("PUT") ? "put" : "end");
        }
        if (!o.has("id") && !NAMELESS.contains(o.get("kind").toString())) {
            o.addProperty("id", ask.booking());
        }
        return o.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static final Set<String> NAMELESS =
            Set.of("\"limit\"", "\"set-team\"", "\"set-destination\"", "\"set-rules\"");

    private static void answer(BookingRequest ask, firstair.fleet.ledger.Outcome outcome) {
        if (outcome instanceof firstair.fleet.ledger.Outcome.Agreed agreed) {
            String booking = new String(agreed.result(), StandardCharsets.UTF_8);
            ask.answer(200, 0, booking.isEmpty() ? "{}" : booking);
        } else if (outcome instanceof firstair.fleet.ledger.Outcome.Refused r) {
            ask.answer(status(r.code()), 0, json(r.code(), r.what(), r.step()));
        } else if (outcome instanceof firstair.fleet.ledger.Outcome.NotNow n) {
            answer(ask, n.fault());
        }
    }

    private static void answer(BookingRequest ask, Fault fault) {
        double after = fault instanceof Fault.NotNow n ? n.afterMs() : 0;
        ask.answer(
                fault instanceof Fault.NotNow ? NOT_NOW : status(fault.code()),
                after,
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
        JsonObject o = new JsonObject();
        o.addProperty("code", code);
        o.addProperty("what", what);
        o.addProperty("step", step);
        return o.toString();
    }
}
