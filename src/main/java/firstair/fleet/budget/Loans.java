package firstair.fleet.budget;

import firstair.fleet.Outbox;
import firstair.fleet.talk.Note.Loan;
import firstair.fleet.talk.Note.LoanAsk;
import firstair.fleet.talk.Note.LoanBack;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Parts lent to others and borrowed from them. Why no part is used twice: see {@link Rules}. A loan is never made
 * longer. Before its end the borrower asks the same lender again, and the new loan takes the place of the old one; the
 * lender counts only the larger of the two.
 */
final class Loans {
    private static final int MOST_LENT = 4096; // loans not over, to all
    private static final int MOST_OF_ONE = 8; // to one process out of one budget
    private static final int MOST_ASKS = 1024;
    private static final int FEWEST = 3; // new lenders asked in a round
    private static final int MOST = 32; // in a round, after rounds that brought something
    private static final double LEAST_TERM = 0.25; // of a whole term; shorter loans would be asked for without end
    private static final double RENEW = 0.5; // asked for again when less than this share of a term is left
    private static final double PATIENCE = 0.2; // share of a term after which an ask counts as not answered
    private static final double AGAIN = 0.5; // share of a term before one who gave nothing is asked again
    private static final double CRUMB = 0.02; // of the need: a lack below it is none
    private static final double HOARD = 0.25; // of the need: a surplus above it is given back early

    private record Borrower(String name, long incarnation) {}

    private record Lent(long number, LoanAsk ask, String of, int parts, double termMs, double until) {}

    private record Ask(String lender, String budget, int parts, double sentAt) {}

    private record Borrowed(String lender, long number, int parts, double until) {}

    /** What is borrowed of one budget, and who was asked. */
    private static final class Hand {
        final Map<String, Borrowed> loans = new LinkedHashMap<>(); // by lender
        final Map<String, Double> askedAt = new LinkedHashMap<>();
        final Map<String, Double> gaveAt = new LinkedHashMap<>();
        int fan = FEWEST;
        boolean brought; // something new, since the last round
        double surplusSince = Double.POSITIVE_INFINITY;
    }

    private final Rules rules;
    private final Numbers numbers;
    private final Outbox out;
    private final Map<String, Map<Borrower, List<Lent>>> lent = new LinkedHashMap<>(); // by budget
    private int lentCount;
    private final Map<Long, Ask> asks = new LinkedHashMap<>();
    private final Map<String, Hand> hands = new LinkedHashMap<>(); // by budget

    Loans(Rules rules, Numbers numbers, Outbox out) {
        this.rules = rules;
        this.numbers = numbers;
        this.out = out;
    }

    // ---- the lender ----

    /** Parts lent of a budget out of one member's standing. */
    int lent(double now, String budget, String of) {
        int sum = 0;
        for (List<Lent> loans : lent.getOrDefault(budget, Map.of()).values()) {
            sum += most(now, loans, of);
        }
        return sum;
    }

    /** Whether anything of a member's standing is lent. */
    boolean lends(double now, String of) {
        return lent.keySet().stream().anyMatch(budget -> lent(now, budget, of) > 0);
    }

    /** A borrower uses one of its loans at a time, and may use any that is not over. */
    private static int most(double now, List<Lent> loans, String of) {
        int most = 0;
        for (Lent l : loans) {
            if (now < l.until && l.of.equals(of)) {
                most = Math.max(most, l.parts);
            }
        }
        return most;
    }

    /**
     * Another process asks for parts.
     *
     * @param spare   what we do not need ourselves; below zero what we lack
     * @param sources until when we hold which standing
     */
    void asked(double now, String from, long incarnation, LoanAsk ask, int spare, Map<String, Double> sources) {
        Borrower borrower = new Borrower(from, incarnation);
        List<Lent> loans = lent.getOrDefault(ask.budget(), Map.of()).getOrDefault(borrower, List.of());
        int before = 0;
        for (Lent l : loans) {
            if (l.ask.nonce() == ask.nonce()) {
                if (now < l.until) { // the ask came twice: so does the answer
                    out.send(from, new Loan(ask.nonce(), l.number, ask.budget(), l.parts, l.termMs));
                }
                return;
            }
            before = now < l.until ? Math.max(before, l.parts) : before;
        }
        if (loans.size() >= MOST_OF_ONE || lentCount >= MOST_LENT) {
            return;
        }
        String best = null;
        int parts = 0;
        for (String of : sources.keySet()) { // our own first
            int room = rules.standing() - lent(now, ask.budget(), of) + most(now, loans, of);
            int can = Math.min(room, Math.min(ask.parts(), before + spare));
            if (can > parts && sources.get(of) - now >= LEAST_TERM * rules.useMs()) {
                best = of;
                parts = can;
            }
        }
        if (best == null || parts < Math.min(ask.parts(), least())) {
            return;
        }
        double termMs = sources.get(best) - now;
        Lent l = new Lent(numbers.next(), ask, best, parts, termMs, now + rules.lentMs(termMs));
        lent.computeIfAbsent(ask.budget(), b -> new LinkedHashMap<>())
                .computeIfAbsent(borrower, b -> new ArrayList<>())
                .add(l);
        lentCount++;
        out.send(from, new Loan(ask.nonce(), l.number, ask.budget(), parts, termMs));
    }

    /** Crumbs are not worth a note. */
    private int least() {
        return Math.max(1, (int) (rules.standing() * CRUMB));
    }

    /** A borrower uses a loan no more. Whether there was such a loan. */
    boolean back(String from, long incarnation, LoanBack note) {
        return forget(new Borrower(from, incarnation), l -> l.number == note.number());
    }

    /** Loans that are over are forgotten. */
    void expire(double now) {
        forget(null, l -> now >= l.until);
        asks.values().removeIf(a -> now - a.sentAt >= rules.useMs()); // no loan of theirs could still be used
    }

    private boolean forget(Borrower only, Predicate<Lent> which) {
        int before = lentCount;
        for (Map<Borrower, List<Lent>> ofBudget : lent.values()) {
            for (Map.Entry<Borrower, List<Lent>> e : ofBudget.entrySet()) {
                if (only == null || only.equals(e.getKey())) {
                    int size = e.getValue().size();
                    e.getValue().removeIf(which);
                    lentCount -= size - e.getValue().size();
                }
            }
            ofBudget.values().removeIf(List::isEmpty);
        }
        lent.values().removeIf(Map::isEmpty);
        return lentCount < before;
    }

    // ---- the borrower ----

    /** Parts borrowed of a budget. */
    int borrowed(double now, String budget) {
        Hand hand = hands.get(budget);
        return hand == null
                ? 0
                : hand.loans.values().stream()
                        .filter(b -> now < b.until)
                        .mapToInt(b -> b.parts)
                        .sum();
    }

    /** When the first of the loans of a budget ends; infinite if there are none. */
    double borrowedUntil(double now, String budget) {
        Hand hand = hands.get(budget);
        return hand == null
                ? Double.POSITIVE_INFINITY
                : hand.loans.values().stream()
                        .mapToDouble(b -> b.until)
                        .filter(until -> now < until)
                        .min()
                        .orElse(Double.POSITIVE_INFINITY);
    }

    /** A loan has come. False if it is not used: it was not asked for, came a second time, or is over. */
    boolean came(double now, String from, Loan loan) {
        Hand hand = hands.get(loan.budget());
        Ask ask = asks.get(loan.nonce());
        boolean open = ask != null && hand != null && ask.lender.equals(from) && ask.budget.equals(loan.budget());
        double until = open ? ask.sentAt + rules.borrowedMs(loan.termMs()) : Double.NEGATIVE_INFINITY;
        if (!open || now >= until) {
            // It is never used from now on. One that is used has come a second time, and stays.
            boolean used = hand != null && hand.loans.containsKey(from) && hand.loans.get(from).number == loan.number();
            if (!used) {
                if (open) {
                    asks.remove(loan.nonce());
                }
                out.send(from, new LoanBack(loan.number()));
            }
            return false;
        }
        if (rules.onceOnly()) {
            asks.remove(loan.nonce());
        }
        Borrowed old =
                hand.loans.put(from, new Borrowed(from, loan.number(), Math.min(loan.parts(), ask.parts), until));
        if (old == null) {
            hand.brought = true;
        } else if (old.number != loan.number()) {
            out.send(from, new LoanBack(old.number));
        }
        hand.gaveAt.put(from, now);
        return true;
    }

    /**
     * Borrows of a budget what is lacking, has loans renewed that end soon, and gives back what is not needed.
     *
     * @param have what may be used of it now
     * @param from whom to ask, in order
     * @param room how many asks may be sent
     * @return how many were sent
     */
    int round(double now, String budget, int need, int have, List<String> from, int room) {
        Hand hand = hands.computeIfAbsent(budget, b -> new Hand());
        hand.loans.values().removeIf(b -> now >= b.until);
        int sent = 0;
        int lack = need - have;
        for (Borrowed b : hand.loans.values()) {
            if (b.until - now >= RENEW * rules.useMs()) {
                continue;
            }
            lack += b.parts; // as if it were gone
            boolean waits =
                    now - hand.askedAt.getOrDefault(b.lender, Double.NEGATIVE_INFINITY) < PATIENCE * rules.useMs();
            if (waits || lack > 0 && sent < room) {
                int parts = Math.min(lack, Math.max(b.parts, rules.standing()));
                lack -= waits ? b.parts : parts;
                if (!waits) {
                    ask(now, hand, b.lender, budget, parts);
                    sent++;
                }
            }
        }
        if (lack > Math.max(least(), need * CRUMB)) {
            sent += askMore(now, hand, budget, lack, from, room - sent);
        }
        giveUp(now, hand, have - need);
        return sent;
    }

    private int askMore(double now, Hand hand, String budget, int lack, List<String> from, int room) {
        hand.fan = hand.brought ? Math.min(MOST, hand.fan * 2) : FEWEST;
        hand.brought = false;
        List<String> lenders = new ArrayList<>();
        for (String lender : from) {
            boolean again = now - hand.askedAt.getOrDefault(lender, Double.NEGATIVE_INFINITY) >= AGAIN * rules.useMs();
            if (again && !hand.loans.containsKey(lender)) {
                lenders.add(lender);
            }
        }
        lenders.sort(Comparator.comparingDouble(l -> -hand.gaveAt.getOrDefault(l, Double.NEGATIVE_INFINITY)));
        int several = Math.min(Math.min(hand.fan, lenders.size()), room);
        for (String lender : lenders.subList(0, Math.max(0, several))) {
            int parts = Math.max(least(), (lack + several - 1) / several);
            ask(now, hand, lender, budget, Math.min(parts, rules.standing()));
        }
        return Math.max(0, several);
    }

    private void ask(double now, Hand hand, String lender, String budget, int parts) {
        long nonce = numbers.next();
        asks.put(nonce, new Ask(lender, budget, parts, now));
        if (asks.size() > MOST_ASKS) {
            asks.remove(asks.keySet().iterator().next());
        }
        hand.askedAt.put(lender, now);
        out.send(lender, new LoanAsk(nonce, budget, parts));
    }

    /** A surplus that lasts is given back in whole loans; a short one is not, so that parts do not swing. */
    private void giveUp(double now, Hand hand, int over) {
        if (over <= 0 || hand.loans.isEmpty()) {
            hand.surplusSince = Double.POSITIVE_INFINITY;
            return;
        }
        hand.surplusSince = Math.min(hand.surplusSince, now);
        if (now - hand.surplusSince < RENEW * rules.useMs()) {
            return;
        }
        int left = over;
        for (Borrowed b : List.copyOf(hand.loans.values())) {
            if (b.parts * (1 + HOARD) <= left) {
                left -= b.parts;
                giveBack(hand, b);
            }
        }
    }

    private void giveBack(Hand hand, Borrowed b) {
        hand.loans.remove(b.lender);
        out.send(b.lender, new LoanBack(b.number));
    }

    /** Nothing of this budget is needed any more. */
    void done(String budget) {
        Hand hand = hands.remove(budget);
        if (hand != null) {
            List.copyOf(hand.loans.values()).forEach(b -> giveBack(hand, b));
            asks.values().removeIf(a -> a.budget.equals(budget));
        }
    }

    /** Nothing borrowed is used any more. */
    void done() {
        List.copyOf(hands.keySet()).forEach(this::done);
    }
}
