package firstair.kit.fleet;

import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * A simulated network between relays: loses, delays, duplicates and reorders messages by its seed. Links can be cut in
 * one direction or in both.
 */
public final class VirtualNet {

    /**
     * Conditions of the network; shares lie between 0 and 1, times are virtual.
     *
     * @param loss       share of messages that are lost
     * @param duplicated share of messages that are delivered twice
     * @param late       share of messages that are delayed by up to {@code lateMs} instead
     * @param minMs      shortest delay
     * @param maxMs      longest delay of messages that are not late
     * @param lateMs     longest delay of late messages
     */
    public record Conditions(double loss, double duplicated, double late, double minMs, double maxMs, double lateMs) {
        /** A local network without faults. */
        public static final Conditions NORMAL = new Conditions(0, 0, 0, 0.2, 2, 0);
        /** Messages are lost, duplicated, delayed and reordered. */
        public static final Conditions BAD = new Conditions(0.15, 0.1, 0.05, 0.5, 60, 30_000);
    }

    /** Traffic of a relay, of all its processes together. */
    public static final class Traffic {
        private long sent;
        private long sentBytes;
        private long received;
        private long receivedBytes;
        private int largest;

        /** Number of messages sent. */
        public long sent() {
            return sent;
        }

        /** Bytes of messages sent. */
        public long sentBytes() {
            return sentBytes;
        }

        /** Number of messages received. */
        public long received() {
            return received;
        }

        /** Bytes of messages received. */
        public long receivedBytes() {
            return receivedBytes;
        }

        /** Size of the largest message sent, bytes. */
        public int largest() {
            return largest;
        }
    }

    /** Receives messages. */
    interface Receiver {
        /** A message was delivered. */
        void come(String from, String to, byte[] bytes);
    }

    private final Timeline timeline;
    private final Random random;
    private final Receiver receiver;
    private final Map<String, Set<String>> cut = new LinkedHashMap<>(); // cut receivers by sender
    private final Map<String, Traffic> traffic = new LinkedHashMap<>();
    private Conditions conditions = Conditions.NORMAL;

    VirtualNet(Timeline timeline, Random random, Receiver receiver) {
        this.timeline = timeline;
        this.random = random;
        this.receiver = receiver;
    }

    /** Sets the conditions of the network; messages in transit keep their delays. */
    public void setConditions(Conditions newConditions) {
        conditions = newConditions;
    }

    /** Cuts the links from some relays to others, in this direction only; messages in transit are lost too. */
    public void cut(Collection<String> from, Collection<String> to) {
        for (String name : from) {
            cut.computeIfAbsent(name, n -> new LinkedHashSet<>()).addAll(to);
        }
    }

    /** Cuts the links between some relays and others in both directions. */
    public void partition(Collection<String> one, Collection<String> other) {
        cut(one, other);
        cut(other, one);
    }

    /** Restores all links. */
    public void heal() {
        cut.clear();
    }

    /** Whether messages pass from one relay to another: whether this direction isn't cut. */
    public boolean isOpen(String from, String to) {
        return !cut.getOrDefault(from, Set.of()).contains(to);
    }

    /** Traffic of a relay. */
    public Traffic traffic(String name) {
        return traffic.computeIfAbsent(name, n -> new Traffic());
    }

    /** Sends a message; {@code detail} only appears in reports. */
    void send(String from, String to, byte[] bytes, Object detail) {
        Traffic senderTraffic = traffic(from);
        senderTraffic.sent++;
        senderTraffic.sentBytes += bytes.length;
        senderTraffic.largest = Math.max(senderTraffic.largest, bytes.length);
        timeline.addToDigest(Arrays.hashCode(bytes));
        // always the same number of random draws, so that a cut changes nothing for other messages
        boolean lost = random.nextDouble() < conditions.loss;
        boolean duplicate = random.nextDouble() < conditions.duplicated;
        double first = randomDelay();
        double second = randomDelay();
        if (lost || !isOpen(from, to)) {
            return;
        }
        deliver(from, to, bytes, first, detail);
        if (duplicate) {
            deliver(from, to, bytes, second, detail);
        }
    }

    private double randomDelay() {
        boolean late = random.nextDouble() < conditions.late;
        double fraction = random.nextDouble();
        return late
                ? fraction * conditions.lateMs
                : conditions.minMs + fraction * (conditions.maxMs - conditions.minMs);
    }

    private void deliver(String from, String to, byte[] bytes, double ms, Object detail) {
        timeline.schedule(timeline.now() + ms, to, "hears", detail, () -> {
            if (isOpen(from, to)) {
                Traffic receiverTraffic = traffic(to);
                receiverTraffic.received++;
                receiverTraffic.receivedBytes += bytes.length;
                receiver.come(from, to, bytes);
            }
        });
    }
}
