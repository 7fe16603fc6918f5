package firstair.fleet.fault;

/**
 * Errors between relays, with contracts and with bookings. Each kind has its own type, a stable code, a description
 * and a step that an operator can take. docs/errors.md lists them all.
 *
 * <p>The ledger's state machine stores the texts of the faults that it raises (F102, F203, F401 to F410, F412) with its
 * answers to proposals, so these texts should not differ between releases that run side by side.
 */
public abstract sealed class Fault extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String code;
    private final String step;

    private Fault(String code, String what, String step) {
        super(what, null, false, false); // raised for any invalid input: a stack trace would only cost time
        this.code = code;
        this.step = step;
    }

    /** Identifies the kind of fault; the same in all versions. */
    public final String code() {
        return code;
    }

    /** What the operator or the caller can do about it. */
    public final String step() {
        return step;
    }

    /** Code, description and step in one line, for logs and replies. */
    public final String line() {
        return code + ": " + getMessage() + "; " + step;
    }

    // ---- notes between relays ----

    /** An envelope of another fleet arrived. */
    public static final class OtherFleet extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param name the fleet named in the envelope */
        public OtherFleet(String name) {
            super(
                    "F101",
                    "received a message of fleet " + name + ", which is not ours",
                    "check fleet.name and fleet.peers at its sender");
        }
    }

    /** Bytes that cannot be decoded. */
    public static final class Unreadable extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param why what the decoder found */
        public Unreadable(String why) {
            super("F102", "bytes that are no message of a relay: " + why, "check what else sends to this address");
        }
    }

    /** An envelope of a protocol version that this relay does not support. */
    public static final class OtherVersion extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param version the version named in the envelope */
        public OtherVersion(int version) {
            super(
                    "F103",
                    "received a message of version " + version + ", which this relay does not support",
                    "finish the rollout: the versions are too far apart");
        }
    }

    /** An envelope of a process that another one under the same name has replaced. */
    public static final class OldIncarnation extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param name the relay that sent it */
        public OldIncarnation(String name, long incarnation) {
            super(
                    "F104",
                    "received a message of an earlier process of relay " + name + " (" + incarnation + ")",
                    "none, unless it continues: then two processes run under this name");
        }
    }

    /** Another process that started later runs under our name. */
    public static final class NameTaken extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param name our name */
        public NameTaken(String name) {
            super(
                    "F105",
                    "a later process runs as relay " + name + ", this one steps back to its guaranteed share",
                    "stop one of the two, or give it a name of its own");
        }
    }

    /** An envelope of a sender that is not among the peers. */
    public static final class Stranger extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param name the sender named in the envelope */
        public Stranger(String name) {
            super(
                    "F106",
                    "received a message of " + name + ", which is not a peer",
                    "add it to fleet.peers, or stop it");
        }
    }

    /** A message that exceeds the largest size that can be sent. */
    public static final class TooLarge extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param bytes its size */
        public TooLarge(int bytes, int most) {
            super(
                    "F107",
                    "a message of " + bytes + " bytes, the limit is " + most + " bytes",
                    "report it as a bug: no message should grow so long");
        }
    }

    /** An envelope addressed to another relay or process. */
    public static final class NotForUs extends Fault {
        private static final long serialVersionUID = 1L;

        /**
         * @param to          the relay it is addressed to
         * @param incarnation the process of that relay, 0 for any
         */
        public NotForUs(String to, long incarnation) {
            super(
                    "F108",
                    "received a message for relay " + to + " (process " + incarnation + ")",
                    "none after a restart; otherwise check the address of " + to + " in fleet.peers");
        }
    }

    /** An envelope of our own that came back. */
    public static final class Echo extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param name our name */
        public Echo(String name) {
            super(
                    "F109",
                    "received a message of our own (" + name + ")",
                    "check fleet.peers: the address of another relay points to this one");
        }
    }

    // ---- budgets ----

    /** No majority of the voters is reachable. */
    public static final class Alone extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param ms how long ago the last one was */
        public Alone(long ms) {
            super(
                    "F201",
                    "no majority of the voters reachable for " + ms + " ms, sending at the guaranteed share only",
                    "restore the links to the voters; no messages are lost meanwhile");
        }
    }

    /** A loan that arrived too late, twice, or for an earlier process. */
    public static final class LoanOver extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param lender the relay that made the loan */
        public LoanOver(String lender, long number) {
            super(
                    "F202",
                    "loan " + number + " of " + lender + " arrived after it had expired",
                    "none; many of these mean slow links");
        }
    }

    /** Invalid or inconsistent settings of the fleet. */
    public static final class BadSetup extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param field path of the setting */
        public BadSetup(String field, String why) {
            super("F203", field + ": " + why, "correct the settings file");
        }
    }

    // ---- residency ----

    /** No contract names the tenant. */
    public static final class UnknownTenant extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param tenant the name given in the request */
        public UnknownTenant(String tenant) {
            super("F301", "no contract of tenant " + tenant, "add its contract, or correct X-Addressing at the client");
        }
    }

    /** Contracts are in force, but a message names no tenant. */
    public static final class MissingTenant extends Fault {
        private static final long serialVersionUID = 1L;

        /** Nothing in the request identifies its tenant. */
        public MissingTenant() {
            super("F302", "no tenant in X-Addressing", "name it as dest=7;tenant=NAME");
        }
    }

    /** An invalid contract. */
    public static final class BadContract extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param tenant the tenant of the contract */
        public BadContract(String tenant, String why) {
            super("F303", "contract of " + tenant + ": " + why, "correct the contract in the settings file");
        }
    }

    /** The tenant's messages must not be stored in this relay's zone. */
    public static final class OutsideContract extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param zones the zones in which they may be accepted */
        public OutsideContract(String tenant, String zone, String zones) {
            super(
                    "F304",
                    "messages of " + tenant + " may not be kept in zone " + zone,
                    "hand them in at a relay in " + zones);
        }
    }

    /** The tenant has exceeded its quota. */
    public static final class TenantQuota extends Fault {
        private static final long serialVersionUID = 1L;
        private final double afterMs;

        /** @param afterMs time until quota is available again */
        public TenantQuota(String tenant, double afterMs) {
            super(
                    "F305",
                    "tenant " + tenant + " is over its quota",
                    "come again after the told wait, or raise the quota");
            this.afterMs = afterMs;
        }

        /** Time until quota is available again, ms. */
        public double afterMs() {
            return afterMs;
        }
    }

    /** Contracts were not confirmed for longer than their term. */
    public static final class ContractsOld extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param version the version held here */
        public ContractsOld(long version) {
            super(
                    "F306",
                    "contracts (version " + version + ") not confirmed for their term, acting by the strictest known",
                    "mend the links to the voters");
        }
    }

    /** A message whose contract allows no further attempt. */
    public static final class NoZoneLeft extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param tenant the tenant of the message */
        public NoZoneLeft(String tenant) {
            super(
                    "F307",
                    "a message of " + tenant + " is in doubt in a zone that its contract has left, given up",
                    "ask the partner whether it ran");
        }
    }

    // ---- bookings ----

    /** An invalid request. */
    public static final class BadRequest extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param field path of the invalid field */
        public BadRequest(String field, String why) {
            super("F401", field + ": " + why, "correct the request");
        }
    }

    /** A booking that does not exist. */
    public static final class UnknownBooking extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param id the id given in the request */
        public UnknownBooking(String id) {
            super("F402", "no booking " + id, "check its id; ended ones are forgotten after a while");
        }
    }

    /** A change that the booking's state does not allow. */
    public static final class IllegalChange extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param from its current state */
        public IllegalChange(String id, String from, String to) {
            super("F403", "booking " + id + " is " + from + " and cannot become " + to, "look at its state first");
        }
    }

    /** Not all of the destinations have enough capacity left. */
    public static final class NoRoom extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param destination the first without enough capacity */
        public NoRoom(String id, int destination, String left) {
            super(
                    "F404",
                    "booking " + id + ": destination " + destination + " has " + left + " left",
                    "book less, another time, or wait in the list");
        }
    }

    /** The team has exceeded its monthly quota. */
    public static final class TeamQuota extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param month such as 2026-12 */
        public TeamQuota(String team, String month, String left) {
            super(
                    "F405",
                    "team " + team + " has " + left + " calls left in " + month,
                    "book less, or ask for more quota");
        }
    }

    /** A booking requested too short a time before its start. */
    public static final class TooLate extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param least shortest time before the start, ms */
        public TooLate(String id, long least) {
            super("F406", "booking " + id + " has to be asked for " + least + " ms ahead", "choose a later start");
        }
    }

    /** A booking that exceeds the longest duration. */
    public static final class TooLong extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param most longest duration, ms */
        public TooLong(String id, long most) {
            super("F407", "booking " + id + " is longer than " + most + " ms", "split it");
        }
    }

    /** A booking that overlaps closed hours of a destination. */
    public static final class ClosedHours extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param when the first closed time within the booking */
        public ClosedHours(String id, int destination, String when) {
            super(
                    "F408",
                    "booking " + id + ": destination " + destination + " is closed at " + when,
                    "choose hours in which it is open");
        }
    }

    /** A booking that is sealed and cannot be changed any more. */
    public static final class Sealed extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param id the booking */
        public Sealed(String id) {
            super("F409", "booking " + id + " is sealed", "let it run, and end it early once it runs");
        }
    }

    /** A booking of another team. */
    public static final class NotYours extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param team the team that made the request */
        public NotYours(String id, String team) {
            super("F410", "booking " + id + " is not of team " + team, "use a booking of your own");
        }
    }

    /** No majority of the voters is reachable from here, so nothing can be agreed. */
    public static final class NotNow extends Fault {
        private static final long serialVersionUID = 1L;
        private final double afterMs;

        /** @param afterMs when to retry */
        public NotNow(double afterMs) {
            super(
                    "F411",
                    "no majority of the voters can be heard here",
                    "come again after the told wait, or elsewhere");
            this.afterMs = afterMs;
        }

        /** When to retry, ms from now. */
        public double afterMs() {
            return afterMs;
        }
    }

    /** An invalid calendar or recurrence rule. */
    public static final class BadCalendar extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param name of the calendar */
        public BadCalendar(String name, String why) {
            super("F412", "calendar " + name + ": " + why, "correct it in the settings file or the request");
        }
    }

    // ---- ledger ----

    /** The ledger's file is corrupt before its end. */
    public static final class TornLedger extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param at offset of the first byte that cannot be read */
        public TornLedger(String file, long at) {
            super(
                    "F501",
                    "ledger " + file + " is corrupt at byte " + at,
                    "restore an intact copy; without it this voter does not vote, the others decide as a majority");
        }
    }

    /** The ledger's file cannot be written. */
    public static final class LedgerUnwritten extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param why message of the I/O error */
        public LedgerUnwritten(String why) {
            super(
                    "F502",
                    "the ledger cannot be written: " + why,
                    "free disk space; this voter votes again once writing succeeds");
        }
    }

    /** A ledger entry that this version does not know. */
    public static final class UnknownEntry extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param kind the kind given in the entry */
        public UnknownEntry(String kind) {
            super(
                    "F503",
                    "the ledger has an entry of kind " + kind + ", which this version does not know",
                    "finish the rollout; until then nothing new is granted here");
        }
    }

    /** A voter finds no ledger in its folder, though this is not declared to be its first start. */
    public static final class LedgerLost extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param folder the folder that was searched */
        public LedgerLost(String folder) {
            super(
                    "F504",
                    "no ledger in " + folder + ", and this start is not declared as the first of this voter",
                    "restore the folder; without it this voter must not vote, the others decide as a majority");
        }
    }
}
