package firstair.simhost;

import firstair.control.Control;
import firstair.control.Controller;
import firstair.control.Controller.Entry;
import firstair.control.Controller.ListUpdate;
import firstair.control.Controller.Listing;
import firstair.control.Controller.Load;
import firstair.control.Controller.Message;
import firstair.control.Controller.Outcome;
import firstair.control.Controller.Result;
import firstair.settings.SettingsReader;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Adapter for the simulator: runs one {@link Control} for each simulated relay and translates between its calls and the
 * simulator's line protocol. Makes no decisions of its own.
 */
public final class SimHost {
    // Bits of the field "bitmap" of a request.
    private static final int FLAG_RETRY = 2;
    private static final int FLAG_ESTIMATE_VALID = 1;
    private static final int FLAG_FROM_FAILED_RELAY = 16;

    private final BufferedReader in;
    private final OutputStream out;
    private final Map<Long, Instance> instances = new HashMap<>();
    private final Map<Long, List<Entry>> lists = new HashMap<>();
    private final LinkedHashSet<Instance> changed = new LinkedHashSet<>(); // have had an event in this batch
    private long lineNumber;

    /** Reads batches from {@code in} and writes one reply to each of them to {@code out}. */
    public SimHost(InputStream in, OutputStream out) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.out = out;
    }

    /** Processes batches until the end of the input. */
    public void run() throws IOException {
        for (Line head = nextLine(); head != null; head = nextLine()) {
            if (!head.word().equals("batch")) {
                throw head.invalid("batch expected, found " + head.word());
            }
            batch(head.number("moment"));
        }
    }

    private Line nextLine() throws IOException {
        String text = in.readLine();
        return text == null ? null : new Line(++lineNumber, text);
    }

    private Line requireLine() throws IOException {
        Line line = nextLine();
        if (line == null) {
            throw new WireException("line " + lineNumber + ": the input ends inside a batch");
        }
        return line;
    }

    private void batch(double now) throws IOException {
        changed.clear();
        for (Line line = requireLine(); !line.word().equals("commit"); line = requireLine()) {
            handleEvent(now, line);
        }
        StringBuilder reply = new StringBuilder();
        for (Instance instance : changed) {
            instance.runGuarded(c -> c.decide(now));
            reply.append(instance.actions);
            instance.actions.setLength(0);
        }
        reply.append("ack\n");
        out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private void handleEvent(double now, Line line) throws IOException {
        switch (line.word()) {
            case "snapshot_rows" -> lists.put(line.whole("setId"), entries(line));
            case "start" -> start(line);
            case "exit" -> changed.remove(instances.remove(instance(line).instanceId));
            case "membership" -> membership(now, line);
            case "request" -> request(now, line);
            case "settled" -> settled(now, line);
            case "ack_first" -> {
                Instance instance = instance(line);
                long id = knownTicket(instance, line);
                int n = line.index("n");
                instance.runGuarded(c -> c.answerBegun(now, id, n));
            }
            case "timed_out_client" -> {
                Instance instance = instance(line);
                long id = knownTicket(instance, line);
                instance.runGuarded(c -> c.withdrawn(now, id));
            }
            case "ring" -> {
                line.whole("mark");
                instance(line).runGuarded(c -> c.timer(now));
            }
            case "echo", "datagram" -> instance(line);
            default -> throw line.invalid("unknown message " + line.word());
        }
    }

    private List<Entry> entries(Line head) throws IOException {
        int count = head.index("elements");
        List<Entry> list = new ArrayList<>(Math.min(count, 1 << 16));
        for (int i = 0; i < count; i++) {
            Line line = requireLine();
            if (!line.word().equals("entry")) {
                throw line.invalid("entry expected, found " + line.word());
            }
            Listing listing =
                    switch (line.text("status")) {
                        case "active" -> Listing.ACTIVE;
                        case "leaving" -> Listing.LEAVING;
                        case "left" -> Listing.LEFT;
                        default -> throw line.invalid("status", "unknown: " + line.text("status"));
                    };
            list.add(new Entry(
                    line.text("endpoint"),
                    (int) line.whole("destination", 0),
                    (int) line.whole("familyType", 0),
                    (int) line.whole("locality", 0),
                    line.number("heft", 1),
                    listing));
        }
        return list;
    }

    private void start(Line line) {
        Instance instance = new Instance(line.whole("who"));
        long seed = line.whole("rngSeed");
        Controller.Settings settings = SettingsReader.read(line);
        instance.classes = settings.classes().size();
        instance.control = new Control(settings, seed, instance);
        Instance previous = instances.put(instance.instanceId, instance);
        changed.remove(previous);
        changed.add(instance);
    }

    private void membership(double now, Line line) {
        Instance instance = instance(line);
        ListUpdate news =
                switch (line.text("how")) {
                    case "diff" -> ListUpdate.CHANGES;
                    case "snapshot" -> ListUpdate.COMPLETE;
                    case "disk" -> ListUpdate.STORED;
                    case "error" -> ListUpdate.FAILED;
                    default -> throw line.invalid("how", "unknown: " + line.text("how"));
                };
        List<Entry> list = List.of();
        if (news != ListUpdate.FAILED) {
            list = lists.get(line.whole("setId"));
            if (list == null) {
                throw line.invalid("setId", "unknown: " + line.text("setId"));
            }
        }
        for (Entry e : list) {
            instance.endpoints.add(e.endpoint());
        }
        List<Entry> announced = list;
        instance.runGuarded(c -> c.list(now, news, announced));
    }

    private void request(double now, Line line) {
        Instance instance = instance(line);
        long id = line.whole("ticket");
        int flags = (int) line.whole("bitmap", 0);
        int type = line.index("type");
        if (type >= instance.classes) {
            throw line.invalid("type", "no such class: " + type);
        }
        Message message = new Message(
                id,
                type,
                line.index("toDest"),
                line.text("pathKey", null),
                line.number("dropDead"),
                (flags & FLAG_ESTIMATE_VALID) != 0 ? line.number("estimate", 0) : 0,
                (flags & FLAG_RETRY) != 0,
                (flags & FLAG_FROM_FAILED_RELAY) != 0,
                List.of());
        instance.tickets.add(id);
        instance.runGuarded(c -> c.accepted(now, message));
    }

    private void settled(double now, Line line) {
        Instance instance = instance(line);
        long id = knownTicket(instance, line);
        String endpoint = line.text("endpoint");
        if (!instance.endpoints.contains(endpoint)) {
            throw line.invalid("endpoint", "unknown: " + endpoint);
        }
        Result result =
                switch ((int) line.whole("status")) {
                    case 0 -> Result.OK;
                    case 13 -> Result.ERROR;
                    case 8 -> Result.FULL;
                    case 4 -> Result.TIMEOUT;
                    case 14 -> Result.CONNECT_FAILED;
                    case 10 -> Result.RESET;
                    case 1 -> Result.CANCELLED;
                    case 9 -> Result.NOT_SENT;
                    default -> throw line.invalid("status", "unknown: " + line.text("status"));
                };
        Outcome outcome = new Outcome(
                id,
                line.index("n"),
                endpoint,
                result,
                line.number("costTime"),
                line.flag("complete", false),
                result == Result.FULL ? line.number("detail", 0) : 0,
                load(line));
        instance.runGuarded(c -> c.ended(now, outcome));
    }

    private static Load load(Line line) {
        double left = Double.NaN;
        double limit = Double.NaN;
        for (String pair : line.text("serverStats", "").split(",")) {
            int colon = pair.indexOf(':');
            if (colon > 0) {
                try {
                    double value = Double.parseDouble(pair.substring(colon + 1));
                    switch (pair.substring(0, colon)) {
                        case "x0" -> left = value;
                        case "x1" -> limit = value;
                        default -> {}
                    }
                } catch (NumberFormatException e) {
                    throw line.invalid("serverStats", "not a number: " + pair);
                }
            }
        }
        return Double.isNaN(left) && Double.isNaN(limit) ? Load.NONE : new Load(left, limit);
    }

    private Instance instance(Line line) {
        long instanceId = line.whole("who");
        Instance instance = instances.get(instanceId);
        if (instance == null) {
            throw line.invalid("who", "not started: " + instanceId);
        }
        changed.add(instance);
        return instance;
    }

    private static long knownTicket(Instance instance, Line line) {
        long id = line.whole("ticket");
        if (!instance.tickets.contains(id)) {
            throw line.invalid("ticket", "unknown: " + id);
        }
        return id;
    }

    /** One simulated relay: its control, and its actions written as lines of the protocol. */
    private static final class Instance implements Controller.Actions {
        final long instanceId;
        final StringBuilder actions = new StringBuilder();
        final Set<Long> tickets = new HashSet<>();
        final Set<String> endpoints = new HashSet<>();
        Controller control;
        int classes = Integer.MAX_VALUE;
        private boolean failed;

        Instance(long instanceId) {
            this.instanceId = instanceId;
        }

        interface ControlCall {
            void run(Controller c);
        }

        /** Reports an exception to the simulator instead of guessing actions, and ignores all further events. */
        void runGuarded(ControlCall call) {
            if (failed) {
                return;
            }
            try {
                call.run(control);
            } catch (RuntimeException e) {
                failed = true;
                e.printStackTrace();
                line("fault")
                        .append("\tmsg=")
                        .append(String.valueOf(e).replaceAll("[\\t\\r\\n]", " "))
                        .append('\n');
            }
        }

        /** Formats milliseconds with microsecond precision, never in exponent form. */
        private static String formatMs(double value) {
            return java.math.BigDecimal.valueOf(Math.round(value * 1000), 3).toPlainString();
        }

        private StringBuilder line(String word) {
            return actions.append(word).append("\twho=").append(instanceId);
        }

        private StringBuilder ticket(String word, long id) {
            return line(word).append("\tticket=").append(id);
        }

        @Override
        public void send(long id, String endpoint, double timeoutMs, boolean last) {
            ticket("call_out", id)
                    .append("\tendpoint=")
                    .append(endpoint)
                    .append("\tgiveUpAfter=")
                    .append(formatMs(timeoutMs))
                    .append('\n');
        }

        @Override
        public void cancel(long id, int attempt) {
            ticket("recall", id).append("\tn=").append(attempt).append('\n');
        }

        @Override
        public void refuse(long id, double afterMs) {
            ticket("refuse", id);
            if (afterMs > 0) {
                actions.append("\tstayAway=").append(formatMs(afterMs));
            }
            actions.append('\n');
        }

        @Override
        public void giveUp(long id) {
            ticket("give_up", id).append('\n');
        }

        @Override
        public void closeIdle(String endpoint) {
            line("close_idle").append("\tendpoint=").append(endpoint).append('\n');
        }

        @Override
        public void wake(double inMs) {
            line("after").append("\tin=").append(formatMs(inMs)).append("\tmark=0\n");
        }

        @Override
        public void watchList() {
            line("listen").append("\ton=1\n");
        }

        @Override
        public void report(String text) {
            line("record")
                    .append("\tmsg=")
                    .append(text.replaceAll("[\\t\\r\\n]", " "))
                    .append('\n');
        }
    }
}
