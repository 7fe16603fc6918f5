package firstair.kit.fleet;

import firstair.fleet.Setup;
import firstair.fleet.Sharing;
import firstair.fleet.talk.Codec;
import firstair.fleet.talk.Envelope;
import java.util.List;
import java.util.function.BiFunction;
import java.util.stream.IntStream;

/** Fleets as they are played by default. */
public final class Fleets {
    /** What clocks on the wall show at the beginning, give or take a little: 2 March 2026, 8:00 UTC. */
    public static final double EPOCH_MS = 1_772_438_400_000.0;

    private static final int DATAGRAM = 1400; // bytes
    private static final List<String> ZONES = List.of("za", "zb", "zc");

    /** Makes the decisions of a process that shares the limits of some destinations. */
    public interface Maker extends BiFunction<Life, List<Integer>, Played> {}

    /** Makes the decisions of a process that agrees on more than limits. */
    public interface Agreeing {
        /** Those of a process, by what its settings have. */
        Played made(Life life, Sharing settings, List<Integer> destinations);
    }

    private Fleets() {}

    /** Relays with their real decisions, which share limits and nothing else. */
    public static Maker sharing() {
        return (life, destinations) -> new FleetPlayed(life, Sharing.LIMITS, destinations, EPOCH_MS);
    }

    /** Relays with their real decisions, by what their settings have. */
    public static Agreeing agreeing() {
        return (life, settings, destinations) -> new FleetPlayed(life, settings, destinations, EPOCH_MS);
    }

    /** Messages as relays write them. */
    public static PlayedFleet.Wire wire() {
        Codec codec = new Codec();
        return new PlayedFleet.Wire() {
            @Override
            public List<byte[]> write(Envelope envelope) {
                return codec.split(envelope, DATAGRAM).stream()
                        .map(codec::write)
                        .toList();
            }

            @Override
            public Envelope read(byte[] bytes) {
                return codec.read(bytes);
            }
        };
    }

    /** Relays r1, r2, ...; the first five are voters, or the first three of fewer than five. */
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

    /** Relays stand in three zones in turn. */
    public static String zone(String name) {
        return ZONES.get((Integer.parseInt(name.substring(1)) - 1) % ZONES.size());
    }
}
