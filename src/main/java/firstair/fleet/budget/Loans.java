package firstair.fleet.budget;

import firstair.fleet.Outbox;
import firstair.fleet.talk.Note.Loan;
import firstair.fleet.talk.Note.LoanRequest;
import firstair.fleet.talk.Note.LoanReturn;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Parts of budgets lent to other relays and borrowed from them, each for a term. {@link LeaseRules} says why no part is
 * used twice. A loan is never extended. Before it expires the borrower sends the same lender a new request, and the new
 * loan replaces the old one; the lender counts only the larger of the two.
 */
final class Loans {
    private static final int MAX_LENT = 4096; // unexpired loans to all borrowers
    private static final int MAX_LENT_EACH = 8; // unexpired loans to one process out of one budget
    private static final int MAX_REQUESTS = 1024;
    private static final int MIN_FANOUT = 3; // new lenders asked in a round
    private static final int MAX_FANOUT = 32; // reached by doubling after rounds that brought a new loan
    private static final double MIN_TERM = 0.25; // of a whole term; shorter loans would cause endless requests
    private static final double RENEWAL = 0.5; // of a term: a loan is renewed when less is left
    private static final double RESPONSE_TIMEOUT = 0.2; // of a term, after which a request counts as unanswered
    private static final double REQUEST_BACKOFF = 0.5; // of a term, before a lender that gave nothing is asked again
    private static final double NEGLIGIBLE = 0.02; // of the need or of a lease: a smaller shortage is ignored
    private static final double RETURN_MARGIN = 0.25; // of a loan: surplus beyond its size before it is returned early

    private record Borrower(String name, long incarnation) {}

    private record Lent(long number, LoanRequest request, String member, int parts, double termMs, double until) {}

    private record Request(String lender, String budget, int parts, double sentAt) {}

    private record Borrowed(String lender, long number, int parts, double until) {}

    /** What is borrowed of one budget, and the lenders that were asked. */
    private static final class Borrowing {
        final Map<String, Borrowed> loans = new LinkedHashMap<>(); // by lender
        final Map<String, Double> requestedAt = new LinkedHashMap<>(); // by lender
        final Map<String, Double> receivedAt = new LinkedHashMap<>(); // by lender: its newest loan
        int fanout = MIN_FANOUT;
        boolean newLender; // has lent since the last round
        double surplusSince = Double.POSITIVE_INFINITY;
    }

    private final LeaseRules rules;
    private final Nonces nonces;
    private final Outbox out;
    private final Map<String, Map<Borrower, List<Lent>>> lent = new LinkedHashMap<>(); // by budget
    private int lentCount;
    private final Map<Long, Request> requests = new LinkedHashMap<>(); // by nonce
    private final Map<String, Borrowing> borrowings = new LinkedHashMap<>(); // by budget

    Loans(LeaseRules rules, Nonces nonces, Outbox out) {
        this.rules = rules;
        this.nonces = nonces;
        this.out = out;
    }

    // ---- the lender ----

    /** Parts of a budget that are lent out of one member's lease. */
    int lentParts(double now, String budget, String member) {
        int sum = 0;
        for (List<Lent> loans : lent.getOrDefault(budget, Map.of()).values()) {
            sum += largest(now, loans, member);
        }
        return sum;
    }

    /** Whether anything of a member's lease is lent. */
    boolean lends(double now, String member) {
        return lent.keySet().stream().anyMatch(budget -> lentParts(now, budget, member) > 0);
    }

    /** A borrower uses one of its loans at a time, and may use any that has not expired. */
    private static int largest(double now, List<Lent> loans, String member) {
        int largest = 0;
        for (Lent loan : loans) {
            if (now < loan.until && loan.member.equals(member)) {
                largest = Math.max(largest, loan.parts);
            }
        }
        return largest;
    }

    /**
     * Another process requests parts.
     *
     * @param spare   parts that we do not need ourselves; negative if we are short
     * @param sources the expiry of each lease that we hold, by member
     */
    void onRequest(
            double now, String from, long incarnation, LoanRequest request, int spare, Map<String, Double> sources) {
        Borrower borrower = new Borrower(from, incarnation);
        List<Lent> loans = lent.getOrDefault(request.budget(), Map.of()).getOrDefault(borrower, List.of());
        int before = 0;
        for (Lent loan : loans) {
            if (loan.request.nonce() == request.nonce()) {
                if (now < loan.until) { // a duplicated request gets the same answer again
                    out.send(from, new Loan(request.nonce(), loan.number, request.budget(), loan.parts, loan.termMs));
                }
                return;
            }
            before = now < loan.until ? Math.max(before, loan.parts) : before;
        }
        if (loans.size() >= MAX_LENT_EACH || lentCount >= MAX_LENT) {
            return;
        }
        String source = null;
        int parts = 0;
        for (String member : sources.keySet()) { // our own first
            int room = rules.leaseParts() - lentParts(now, request.budget(), member) + largest(now, loans, member);
            int possible = Math.min(room, Math.min(request.parts(), before + spare));
            if (possible > parts && sources.get(member) - now >= MIN_TERM * rules.leaseMs()) {
                source = member;
                parts = possible;
            }
        }
        if (source == null || parts < Math.min(request.parts(), minParts())) {
            return;
        }
        double termMs = sources.get(source) - now;
        Lent loan = new Lent(nonces.next(), request, source, parts, termMs, now + rules.lentMs(termMs));
        lent.computeIfAbsent(request.budget(), k -> new LinkedHashMap<>())
                .computeIfAbsent(borrower, k -> new ArrayList<>())
                .add(loan);
        lentCount++;
        out.send(from, new Loan(request.nonce(), loan.number, request.budget(), parts, termMs));
    }

    /** Smaller loans are not worth a note. */
    private int minParts() {
        return Math.max(1, (int) (rules.leaseParts() * NEGLIGIBLE));
    }

    /** A borrower returns a loan. Returns whether there was such a loan. */
    boolean onReturn(String from, long incarnation, LoanReturn note) {
        return remove(new Borrower(from, incarnation), loan -> loan.number == note.number());
    }

    /** Removes expired loans and requests. */
    void expire(double now) {
        remove(null, loan -> now >= loan.until);
        requests.values().removeIf(request -> now - request.sentAt >= rules.leaseMs()); // their loans would be expired
    }

    private boolean remove(Borrower only, Predicate<Lent> which) {
        int before = lentCount;
        for (Map<Borrower, List<Lent>> ofBudget : lent.values()) {
            for (Map.Entry<Borrower, List<Lent>> entry : ofBudget.entrySet()) {
                if (only == null || only.equals(entry.getKey())) {
                    int size = entry.getValue().size();
                    entry.getValue().removeIf(which);
                    lentCount -= size - entry.getValue().size();
                }
            }
            ofBudget.values().removeIf(List::isEmpty);
        }
        lent.values().removeIf(Map::isEmpty);
        return lentCount < before;
    }

    // ---- the borrower ----

    /** Parts borrowed of a budget. */
    int borrowedParts(double now, String budget) {
        Borrowing borrowing = borrowings.get(budget);
        return borrowing == null
                ? 0
                : borrowing.loans.values().stream()
                        .filter(loan -> now < loan.until)
                        .mapToInt(loan -> loan.parts)
                        .sum();
    }

    /** When the first of the borrowed loans of a budget expires; infinite if there are none. */
    double borrowedUntil(double now, String budget) {
        Borrowing borrowing = borrowings.get(budget);
        return borrowing == null
                ? Double.POSITIVE_INFINITY
                : borrowing.loans.values().stream()
                        .mapToDouble(loan -> loan.until)
                        .filter(until -> now < until)
                        .min()
                        .orElse(Double.POSITIVE_INFINITY);
    }

    /** A loan has arrived. Returns false if it is not used: not requested, a duplicate, or expired. */
    boolean onLoan(double now, String from, Loan loan) {
        Borrowing borrowing = borrowings.get(loan.budget());
        Request request = requests.get(loan.nonce());
        boolean open = request != null
                && borrowing != null
                && request.lender.equals(from)
                && request.budget.equals(loan.budget());
        double until = open ? request.sentAt + rules.borrowedMs(loan.termMs()) : Double.NEGATIVE_INFINITY;
        if (!open || now >= until) {
            // It is never used from now on. A duplicate of a loan in use is not returned: that loan stays.
            boolean used = borrowing != null
                    && borrowing.loans.containsKey(from)
                    && borrowing.loans.get(from).number == loan.number();
            if (!used) {
                if (open) {
                    requests.remove(loan.nonce());
                }
                out.send(from, new LoanReturn(loan.number()));
            }
            return false;
        }
        if (rules.closesRequestOnLoan()) {
            requests.remove(loan.nonce());
        }
        Borrowed previous = borrowing.loans.put(
                from, new Borrowed(from, loan.number(), Math.min(loan.parts(), request.parts), until));
        if (previous == null) {
            borrowing.newLender = true;
        } else if (previous.number != loan.number()) {
            out.send(from, new LoanReturn(previous.number));
        }
        borrowing.receivedAt.put(from, now);
        return true;
    }

    /**
     * Borrows the parts of a budget that are short, renews loans that expire soon, and returns those not needed.
     *
     * @param have        parts that may be used of it now
     * @param members     possible lenders, in the order to ask
     * @param maxRequests how many requests may be sent
     * @return how many requests were sent
     */
    int round(double now, String budget, int need, int have, List<String> members, int maxRequests) {
        Borrowing borrowing = borrowings.computeIfAbsent(budget, k -> new Borrowing());
        borrowing.loans.values().removeIf(loan -> now >= loan.until);
        int sent = 0;
        int shortage = need - have;
        for (Borrowed loan : borrowing.loans.values()) {
            if (loan.until - now >= RENEWAL * rules.leaseMs()) {
                continue;
            }
            shortage += loan.parts; // as if it had expired
            boolean pending = now - borrowing.requestedAt.getOrDefault(loan.lender, Double.NEGATIVE_INFINITY)
                    < RESPONSE_TIMEOUT * rules.leaseMs();
            if (pending || shortage > 0 && sent < maxRequests) {
                int parts = Math.min(shortage, Math.max(loan.parts, rules.leaseParts()));
                shortage -= pending ? loan.parts : parts;
                if (!pending) {
                    sendRequest(now, borrowing, loan.lender, budget, parts);
                    sent++;
                }
            }
        }
        if (shortage > Math.max(minParts(), need * NEGLIGIBLE)) {
            sent += askNewLenders(now, borrowing, budget, shortage, members, maxRequests - sent);
        }
        returnSurplus(now, borrowing, have - need);
        return sent;
    }

    private int askNewLenders(
            double now, Borrowing borrowing, String budget, int shortage, List<String> members, int maxRequests) {
        borrowing.fanout = borrowing.newLender ? Math.min(MAX_FANOUT, borrowing.fanout * 2) : MIN_FANOUT;
        borrowing.newLender = false;
        List<String> lenders = new ArrayList<>();
        for (String member : members) {
            boolean due = now - borrowing.requestedAt.getOrDefault(member, Double.NEGATIVE_INFINITY)
                    >= REQUEST_BACKOFF * rules.leaseMs();
            if (due && !borrowing.loans.containsKey(member)) {
                lenders.add(member);
            }
        }
        lenders.sort(Comparator.comparingDouble(
                lender -> -borrowing.receivedAt.getOrDefault(lender, Double.NEGATIVE_INFINITY)));
        int count = Math.min(Math.min(borrowing.fanout, lenders.size()), maxRequests);
        for (String lender : lenders.subList(0, Math.max(0, count))) {
            int parts = Math.max(minParts(), (shortage + count - 1) / count);
            sendRequest(now, borrowing, lender, budget, Math.min(parts, rules.leaseParts()));
        }
        return Math.max(0, count);
    }

    private void sendRequest(double now, Borrowing borrowing, String lender, String budget, int parts) {
        long nonce = nonces.next();
        requests.put(nonce, new Request(lender, budget, parts, now));
        if (requests.size() > MAX_REQUESTS) {
            requests.remove(requests.keySet().iterator().next());
        }
        borrowing.requestedAt.put(lender, now);
        out.send(lender, new LoanRequest(nonce, budget, parts));
    }

    /** Returns whole loans once a surplus has lasted; a brief one is kept, so that allocations do not oscillate. */
    private void returnSurplus(double now, Borrowing borrowing, int surplus) {
        if (surplus <= 0 || borrowing.loans.isEmpty()) {
            borrowing.surplusSince = Double.POSITIVE_INFINITY;
            return;
        }
        borrowing.surplusSince = Math.min(borrowing.surplusSince, now);
        if (now - borrowing.surplusSince < RENEWAL * rules.leaseMs()) {
            return;
        }
        int left = surplus;
        for (Borrowed loan : List.copyOf(borrowing.loans.values())) {
            if (loan.parts * (1 + RETURN_MARGIN) <= left) {
                left -= loan.parts;
                returnLoan(borrowing, loan);
            }
        }
    }

    private void returnLoan(Borrowing borrowing, Borrowed loan) {
        borrowing.loans.remove(loan.lender);
        out.send(loan.lender, new LoanReturn(loan.number));
    }

    /** Returns all loans of a budget that is no longer needed. */
    void returnAll(String budget) {
        Borrowing borrowing = borrowings.remove(budget);
        if (borrowing != null) {
            List.copyOf(borrowing.loans.values()).forEach(loan -> returnLoan(borrowing, loan));
            requests.values().removeIf(request -> request.budget.equals(budget));
        }
    }

    /** Returns all loans of all budgets. */
    void returnAll() {
        List.copyOf(borrowings.keySet()).forEach(this::returnAll);
    }
}
