package firstair.kit.fleet;

import firstair.fleet.Setup;
import firstair.fleet.Sharing;
import firstair.fleet.talk.Codec;
import firstair.fleet.talk.Envelope;
import java.util.List;
import java.util.function.BiFunction;
import java.util.stream.IntStream;

/** Default configuration of simulated fleets. */
public final class FleetDefaults {
    /** Wall-clock time at the start of a history: 2 March 2026, 8:00 UTC; clocks of processes differ a little. */
    public static final double EPOCH_MS = 1_772_438_400_000.0;

    private static final int DATAGRAM_BYTES = 1400;
    private static final List<String> ZONES = List.of("za", "zb", "zc");

    /** Creates the decision logic of a process that shares the limits of some destinations. */
    public interface LogicFactory extends BiFunction<SimulatedProcess, List<Integer>, RelayLogic> {}

    /** Creates the decision logic of a process that also agrees on contracts or bookings. */
    public interface LedgerLogicFactory {
        /** Creates the logic of a process with the given settings. */
        RelayLogic made(SimulatedProcess process, Sharing settings, List<Integer> destinations);
    }

    private FleetDefaults() {}

    /** The real decision logic of relays that share limits only. */
    public static LogicFactory limitsOnly() {
        return (process, destinations) -> new RealRelayLogic(process, Sharing.LIMITS, destinations, EPOCH_MS);
    }

    /** The real decision logic of relays with the given settings. */
    public static LedgerLogicFactory withSettings() {
        return (process, settings, destinations) -> new RealRelayLogic(process, settings, destinations, EPOCH_MS);
    }

    /** The real encoding of messages between relays. */
    public static SimulatedFleet.Wire wire() {
        Codec codec = new Codec();
        return new SimulatedFleet.Wire() {
            @Override
            public List<byte[]> write(Envelope envelope) {
                return codec.split(envelope, DATAGRAM_BYTES).stream()
                        .map(codec::write)
                        .toList();
            }

            @Override
            public Envelope read(byte[] bytes) {
                return codec.read(bytes);
            }
        };
    }

    /** Relays r1, r2, ...; the first five are voters, or the first three in fleets of fewer than five relays. */
    public static Setup setup(int relays) {
        List<String> members =
                IntStream.rangeClosed(1, relays).mapToObj(i -> "r" + i).toList();
        int voters = relays >= 5 ? 5 : Math.min(3, relays);
        return new Setup(
                "played",
                members.get(0),
                zone(members.get(0)),
                members,
                members.subList(0, voters),
                500,
                4000,
                1000,
                0.01,
                0.25);
    }

    /** Zone of a relay; the relays are spread over three zones in turn. */
    public static String zone(String name) {
        return ZONES.get((Integer.parseInt(name.substring(1)) - 1) % ZONES.size());
    }
}
