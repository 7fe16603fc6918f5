package firstair.kit.fleet;

import firstair.fleet.fault.Fault;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** Injects random faults, drawn from the fleet's seed, into a fleet for a given time, and then ends all of them. */
public final class RandomFaults {
    private final SimulatedFleet fleet;
    private final Random random;
    private final double meanMs;
    private final double endsAt;
    private final double longestPauseMs;
    private final double maxWallOffsetMs;
    private final int maxLostFolders;
    private final Set<String> lostFolders = new LinkedHashSet<>();
    private final Map<String, Integer> counts = new LinkedHashMap<>();

    /**
     * Schedules faults for a running fleet.
     *
     * @param meanMs          mean time from one fault to the next
     * @param forMs           time after which all faults end
     * @param pauseMs         longest pause of a process
     * @param maxWallOffsetMs largest error to which wall clocks are set
     * @param maxLostFolders  number of relays that may lose their folders
     */
    public RandomFaults(
            SimulatedFleet fleet,
            double meanMs,
            double forMs,
            double pauseMs,
            double maxWallOffsetMs,
            int maxLostFolders) {
        this.fleet = fleet;
        this.random = new Random(fleet.seed() ^ 0xBADL);
        this.meanMs = meanMs;
        this.endsAt = fleet.now() + forMs;
        this.longestPauseMs = pauseMs;
        this.maxWallOffsetMs = maxWallOffsetMs;
        this.maxLostFolders = maxLostFolders;
        scheduleNext();
    }

    /** Number of faults of each kind. */
    public Map<String, Integer> counts() {
        return Collections.unmodifiableMap(counts);
    }

    private void scheduleNext() {
        double ms = -Math.log(1 - random.nextDouble()) * meanMs;
        if (fleet.now() + ms >= endsAt) {
            fleet.scheduleAfter(endsAt - fleet.now(), "trouble ends", this::endFaults);
            return;
        }
        fleet.scheduleAfter(ms, "trouble", () -> {
            injectFault();
            scheduleNext();
        });
    }

    private void injectFault() {
        List<SimulatedProcess> running = fleet.running();
        SimulatedProcess process = running.isEmpty() ? null : running.get(random.nextInt(running.size()));
        String name = fleet.members().get(random.nextInt(fleet.members().size()));
        double size = random.nextDouble();
        switch (random.nextInt(14)) {
            case 0 -> count("fair", () -> fleet.net().setConditions(VirtualNet.Conditions.NORMAL));
            case 1, 2 -> count("foul", () -> fleet.net().setConditions(VirtualNet.Conditions.BAD));
            case 3 -> count("deaf", () -> fleet.net().cut(randomMembers(size), randomMembers(random.nextDouble())));
            case 4, 5 -> count("parted", () -> partition(size));
            case 6, 7 -> count("healed", () -> fleet.net().heal());
            case 8, 9 -> count("stopped", () -> pause(process, size * longestPauseMs));
            case 10 -> count("killed", () -> fleet.kill(name));
            case 11 -> count("returned", () -> restartStopped(size < 0.5));
            case 12 -> count("twin", () -> start(name));
            default -> count("clocks", () -> disturbClocks(process, size));
        }
    }

    private void count(String kind, Runnable action) {
        counts.merge(kind, 1, Integer::sum);
        action.run();
    }

    private List<String> randomMembers(double share) {
        List<String> all = new ArrayList<>(fleet.members());
        Collections.shuffle(all, random);
        return all.subList(0, Math.max(1, (int) (share * all.size())));
    }

    private void partition(double share) {
        List<String> some = randomMembers(share);
        List<String> rest = new ArrayList<>(fleet.members());
        rest.removeAll(some);
        fleet.net().partition(some, rest);
    }

    private void pause(SimulatedProcess process, double ms) {
        if (process != null) {
            fleet.pause(process, ms);
        }
    }

    private void restartStopped(boolean withFolder) {
        for (String name : fleet.members()) {
            if (fleet.running(name).isEmpty()) {
                if (!withFolder && (lostFolders.contains(name) || lostFolders.size() < maxLostFolders)) {
                    lostFolders.add(name);
                    fleet.loseFolder(name);
                }
                start(name);
            }
        }
    }

    private void start(String name) {
        try {
            fleet.start(name);
        } catch (Fault.LedgerLost lost) {
            counts.merge("ledger lost", 1, Integer::sum);
        }
    }

    private void disturbClocks(SimulatedProcess process, double size) {
        if (process != null) {
            fleet.setDrift(process, (2 * size - 1) * process.setup().drift());
            fleet.setWallOffset(process, (2 * random.nextDouble() - 1) * maxWallOffsetMs);
        }
    }

    private void endFaults() {
        fleet.net().heal();
        fleet.net().setConditions(VirtualNet.Conditions.NORMAL);
        for (String name : fleet.members()) {
            List<SimulatedProcess> all = fleet.running(name);
            for (SimulatedProcess older : all.subList(0, Math.max(0, all.size() - 1))) {
                fleet.kill(older);
            }
        }
        restartStopped(true);
    }
}
