package firstair.fleet.fault;

/**
 * What goes wrong between relays, with contracts and with bookings: a type for each kind, with a code that stays,
 * what happened, and what an operator can do. docs/errors.md lists them all.
 */
public abstract sealed class Fault extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String code;
    private final String step;

    private Fault(String code, String what, String step) {
        super(what, null, false, false); // raised for any bad input: it needs no trace
        this.code = code;
        this.step = step;
    }

    /** Stays the same over versions. */
    public final String code() {
        return code;
    }

    /** What an operator, or whoever asked, can do. */
    public final String step() {
        return step;
    }

    /** One line for people. */
    public final String line() {
        return code + ": " + getMessage() + "; " + step;
    }

    // ---- talk between relays ----

    /** A message of another fleet. */
    public static final class OtherFleet extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param name the fleet that it names */
        public OtherFleet(String name) {
            super(
                    "F101",
                    "a message of fleet " + name + " came here",
                    "check fleet.name and fleet.peers at its sender");
        }
    }

    /** Bytes that are no message. */
    public static final class Unreadable extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param why where reading ended */
        public Unreadable(String why) {
            super("F102", "bytes that are no message of a relay: " + why, "check what else sends to this address");
        }
    }

    /** A message of a version that this relay does not speak. */
    public static final class OtherVersion extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param version the version that it names */
        public OtherVersion(int version) {
            super(
                    "F103",
                    "a message of version " + version + " came here",
                    "finish the release: versions are too far apart");
        }
    }

    /** A message of a process that has been followed by another one under its name. */
    public static final class OldIncarnation extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param name its relay */
        public OldIncarnation(String name, long incarnation) {
            super(
                    "F104",
                    "a message of an earlier process of relay " + name + " (" + incarnation + ") came here",
                    "nothing, unless it goes on: then two processes have this name");
        }
    }

    /** Another process runs under our name and started later. */
    public static final class NameTaken extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param name our name */
        public NameTaken(String name) {
            super(
                    "F105",
                    "a later process runs as relay " + name + ", this one steps back to what it may do alone",
                    "end one of the two, or give it a name of its own");
        }
    }

    /** A message of somebody who is not among the peers. */
    public static final class Stranger extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param name who it says it is */
        public Stranger(String name) {
            super("F106", "a message of " + name + " came here, which is no peer", "add it to fleet.peers, or end it");
        }
    }

    /** A message that does not fit into what carries it. */
    public static final class TooLarge extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param bytes its size */
        public TooLarge(int bytes, int most) {
            super(
                    "F107",
                    "a message of " + bytes + " bytes, " + most + " at most",
                    "report it: a message grew too long");
        }
    }

    /** A message that was meant for somebody else. */
    public static final class NotForUs extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param to whom it was meant for, and which process of it (0: any) */
        public NotForUs(String to, long incarnation) {
            super(
                    "F108",
                    "a message for relay " + to + " (process " + incarnation + ") came here",
                    "nothing after a restart; else check the address of " + to + " in fleet.peers");
        }
    }

    /** A message of our own that came back. */
    public static final class Echo extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param name our name */
        public Echo(String name) {
            super(
                    "F109",
                    "a message of our own (" + name + ") came back",
                    "check fleet.peers: the address of another relay leads here");
        }
    }

    // ---- budgets ----

    /** No majority of the voters is heard. */
    public static final class Alone extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param ms for so long */
        public Alone(long ms) {
            super(
                    "F201",
                    "no majority of the voters heard for " + ms + " ms, sending at the cut part",
                    "mend the links to the voters; nothing is lost meanwhile");
        }
    }

    /** A loan that came too late, twice, or from a process that is over. */
    public static final class LoanOver extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param lender who lent */
        public LoanOver(String lender, long number) {
            super(
                    "F202",
                    "loan " + number + " of " + lender + " came when it was over",
                    "nothing; many mean slow links");
        }
    }

    /** Settings of the fleet that cannot hold together. */
    public static final class BadSetup extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param field its path */
        public BadSetup(String field, String why) {
            super("F203", field + ": " + why, "correct the settings file");
        }
    }

    // ---- residency ----

    /** No contract names the tenant. */
    public static final class UnknownTenant extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param tenant as it was named */
        public UnknownTenant(String tenant) {
            super("F301", "no contract of tenant " + tenant, "add its contract, or correct X-Addressing at the client");
        }
    }

    /** Contracts are in force and a message names no tenant. */
    public static final class MissingTenant extends Fault {
        private static final long serialVersionUID = 1L;

        /** Contracts are in force. */
        public MissingTenant() {
            super("F302", "no tenant in X-Addressing", "name it as dest=7;tenant=NAME");
        }
    }

    /** A contract that cannot be used. */
    public static final class BadContract extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param tenant whose */
        public BadContract(String tenant, String why) {
            super("F303", "contract of " + tenant + ": " + why, "correct the contract in the settings file");
        }
    }

    /** This relay may not store the tenant's messages. */
    public static final class OutsideContract extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param zones where they may be handed in */
        public OutsideContract(String tenant, String zone, String zones) {
            super(
                    "F304",
                    "messages of " + tenant + " may not be kept in zone " + zone,
                    "hand them in at a relay in " + zones);
        }
    }

    /** The tenant has used up its quota. */
    public static final class TenantQuota extends Fault {
        private static final long serialVersionUID = 1L;
        private final double afterMs;

        /** @param afterMs when there is room again */
        public TenantQuota(String tenant, double afterMs) {
            super(
                    "F305",
                    "tenant " + tenant + " is over its quota",
                    "come again after the told wait, or raise the quota");
            this.afterMs = afterMs;
        }

        /** When there is room again, from now, ms. */
        public double afterMs() {
            return afterMs;
        }
    }

    /** Contracts could not be confirmed for too long. */
    public static final class ContractsOld extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param version held */
        public ContractsOld(long version) {
            super(
                    "F306",
                    "contracts (version " + version + ") not confirmed for their term, acting by the strictest known",
                    "mend the links to the voters");
        }
    }

    /** A message whose contract allows no further try. */
    public static final class NoZoneLeft extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param tenant whose message */
        public NoZoneLeft(String tenant) {
            super(
                    "F307",
                    "a message of " + tenant + " is in doubt in a zone that its contract has left, given up",
                    "ask the partner whether it ran");
        }
    }

    // ---- reservations ----

    /** A request that cannot be read. */
    public static final class BadRequest extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param field what is wrong */
        public BadRequest(String field, String why) {
            super("F401", field + ": " + why, "correct the request");
        }
    }

    /** A booking that is not there. */
    public static final class UnknownBooking extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param id as it was named */
        public UnknownBooking(String id) {
            super("F402", "no booking " + id, "check its id; ended ones are forgotten after a while");
        }
    }

    /** A change that the booking's state does not allow. */
    public static final class IllegalChange extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param from its state */
        public IllegalChange(String id, String from, String to) {
            super("F403", "booking " + id + " is " + from + " and cannot become " + to, "look at its state first");
        }
    }

    /** Not all of the destinations have room. */
    public static final class NoRoom extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param destination the first that has none */
        public NoRoom(String id, int destination, String left) {
            super(
                    "F404",
                    "booking " + id + ": destination " + destination + " has " + left + " left",
                    "book less, another time, or wait in the list");
        }
    }

    /** The team has used up its quota of the month. */
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

    /** Asked for too late. */
    public static final class TooLate extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param least ms before the start */
        public TooLate(String id, long least) {
            super("F406", "booking " + id + " has to be asked for " + least + " ms ahead", "choose a later start");
        }
    }

    /** Longer than bookings may be. */
    public static final class TooLong extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param most ms */
        public TooLong(String id, long most) {
            super("F407", "booking " + id + " is longer than " + most + " ms", "split it");
        }
    }

    /** It overlaps hours in which a destination is closed. */
    public static final class ClosedHours extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param when the first closed moment in it */
        public ClosedHours(String id, int destination, String when) {
            super(
                    "F408",
                    "booking " + id + ": destination " + destination + " is closed at " + when,
                    "choose hours in which it is open");
        }
    }

    /** Sealed: nobody may change it any more. */
    public static final class Sealed extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param id which */
        public Sealed(String id) {
            super("F409", "booking " + id + " is sealed", "let it run, and end it early once it runs");
        }
    }

    /** Somebody else's. */
    public static final class NotYours extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param team who asked */
        public NotYours(String id, String team) {
            super("F410", "booking " + id + " is not of team " + team, "use a booking of your own");
        }
    }

    /** The side of a cut that cannot agree on anything. */
    public static final class NotNow extends Fault {
        private static final long serialVersionUID = 1L;
        private final double afterMs;

        /** @param afterMs when to come again */
        public NotNow(double afterMs) {
            super(
                    "F411",
                    "no majority of the voters can be heard here",
                    "come again after the told wait, or elsewhere");
            this.afterMs = afterMs;
        }

        /** When to come again, from now, ms. */
        public double afterMs() {
            return afterMs;
        }
    }

    /** A calendar or recurrence rule that cannot be used. */
    public static final class BadCalendar extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param name which */
        public BadCalendar(String name, String why) {
            super("F412", "calendar " + name + ": " + why, "correct it in the settings file or the request");
        }
    }

    // ---- ledger ----

    /** The ledger's file is damaged in its middle. */
    public static final class TornLedger extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param at first byte that cannot be read */
        public TornLedger(String file, long at) {
            super(
                    "F501",
                    "ledger " + file + " is damaged at byte " + at,
                    "bring an undamaged copy back; without it this voter stays out, the others agree as a majority");
        }
    }

    /** The ledger's file cannot be written. */
    public static final class LedgerUnwritten extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param why as the system says */
        public LedgerUnwritten(String why) {
            super("F502", "the ledger cannot be written: " + why, "make room; this voter votes again once it can");
        }
    }

    /** An entry that this version cannot read. */
    public static final class UnknownEntry extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param kind as it stands there */
        public UnknownEntry(String kind) {
            super(
                    "F503",
                    "an entry of kind " + kind + " is in the ledger, which this version does not know",
                    "finish the release; until then nothing new is granted here");
        }
    }

    /** A voter that has voted before finds no ledger in its folder. */
    public static final class LedgerLost extends Fault {
        private static final long serialVersionUID = 1L;

        /** @param folder where it was looked for */
        public LedgerLost(String folder) {
            super(
                    "F504",
                    "no ledger in " + folder + ", and this is not said to be the first start of this voter",
                    "bring the folder back; without it this voter must not vote, the others agree as a majority");
        }
    }
}
