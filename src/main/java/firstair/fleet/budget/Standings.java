package firstair.fleet.budget;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What a voter has promised: for each member's standing, to which process. {@link Rules} says why that is enough. It
 * lives in memory only; a voter that starts grants nothing until whatever it may have promised is over.
 */
final class Standings {
    private record Promise(String holder, long incarnation, long newestAsk, double until) {
        boolean isOf(String from, long process) {
            return holder.equals(from) && incarnation == process;
        }
    }

    private final Rules rules;
    private final double grantsFrom;
    private final Map<String, Promise> promises = new LinkedHashMap<>(); // by member
    private final Map<String, Double> owners = new LinkedHashMap<>(); // when a member last asked for its own

    Standings(Rules rules, double now) {
        this.rules = rules;
        this.grantsFrom = now + rules.startSilenceMs();
    }

    /** A process asks for the standing of a member; both are members. Whether it is granted from now on. */
    boolean ask(double now, String from, long incarnation, long nonce, String of) {
        boolean own = from.equals(of);
        if (own) {
            owners.put(of, now);
        }
        Promise before = promises.get(of);
        boolean bound = before != null && now < before.until;
        if (now < grantsFrom || bound && !before.isOf(from, incarnation)) {
            return false;
        }
        Double owner = owners.get(of);
        if (!own && owner != null && now - owner < rules.promiseMs()) {
            return false; // the member itself is there, so that the other's promise is left to run out
        }
        long newestAsk = bound ? Math.max(before.newestAsk, nonce) : nonce;
        promises.put(of, new Promise(from, incarnation, newestAsk, now + rules.promiseMs()));
        return true;
    }

    /** A process uses nothing more of what its asks up to this nonce were granted. */
    void back(String from, long incarnation, long nonce, String of) {
        Promise before = promises.get(of);
        if (before != null && before.isOf(from, incarnation) && rules.ends(nonce, before.newestAsk)) {
            promises.remove(of);
        }
    }
}
