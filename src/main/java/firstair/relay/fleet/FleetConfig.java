package firstair.relay.fleet;

import firstair.config.Values;
import firstair.fleet.Setup;
import firstair.fleet.Sharing;
import firstair.fleet.booking.Calendar;
import firstair.fleet.fault.Fault;
import firstair.relay.Config;
import firstair.relay.ConfigException;
import firstair.relay.HostPort;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Logger;
import java.util.regex.Pattern;

/**
 * The table {@code fleet} of our settings, checked: who the relays are and where, and what they share.
 *
 * @param setup          what decisions are told
 * @param listen         where other relays reach us, by UDP and TCP
 * @param addresses      where all relays are reached, by their names, in the order of the members; ours too
 * @param sharing        what the fleet shares beside limits
 * @param calendars      by which requests for bookings may repeat, by name
 * @param first          whether this is the very first start of the fleet's voters
 */
public record FleetConfig(
        Setup setup,
        InetSocketAddress listen,
        Map<String, InetSocketAddress> addresses,
        Sharing sharing,
        Map<String, Calendar> calendars,
        boolean first) {

    private static final Logger LOG = Logger.getLogger(FleetConfig.class.getName());
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final int HELLOS = 3; // some may be lost before a relay takes itself for cut off

    /**
     * Reads and checks the table.
     *
     * @return null unless both the settings of ours and the platform let relays talk
     * @throws ConfigException with one line that names the field which cannot be used
     */
    public static FleetConfig of(Values own, Config config) {
        boolean named = !own.text("fleet.name", "").isEmpty();
        boolean allowed = config.settings().limits().peers();
        if (named != allowed) {
            LOG.info(
                    named
                            ? "fleet.name is set, but the platform's settings say limits.peers = false: "
                                    + "the fleet is off"
                            : "the platform's settings say limits.peers = true, but no fleet.name is set: "
                                    + "the fleet is off");
        }
        if (!named || !allowed) {
            return null;
        }
        try {
            return checked(own, config);
        } catch (Fault.BadSetup e) {
            throw new ConfigException(List.of("config: field " + e.getMessage() + " (" + e.code() + ")"));
        } catch (Fault.BadCalendar e) {
            throw new ConfigException(
                    List.of("config: field fleet.calendars: " + e.getMessage() + " (" + e.code() + ")"));
        } catch (Fault.BadContract e) {
            throw new ConfigException(
                    List.of("config: field fleet.contracts: " + e.getMessage() + " (" + e.code() + ")"));
        }
    }

    private static FleetConfig checked(Values own, Config config) {
        String fleet = own.text("fleet.name", "");
        require(NAME.matcher(fleet).matches(), "fleet.name", "letters, digits, '.', '_' and '-' only: " + fleet);
        Map<String, InetSocketAddress> addresses = peers(own.names("fleet.peers"));
        List<String> members = List.copyOf(addresses.keySet());
        int group = config.settings().group();
        require(
                members.size() >= group,
                "fleet.peers",
                members.size() + " relays, but the platform runs " + group + " (groupSize): they would send too much");
        String self = own.text("fleet.self", "");
        self = self.isEmpty() ? config.name() : self;
        require(addresses.containsKey(self), "fleet.self", self + " is not among fleet.peers");
        List<String> voters = voters(own.names("fleet.voters"), members);
        Setup setup = new Setup(
                fleet,
                self,
                config.zones().name(config.settings().zone()),
                members,
                voters,
                own.number("fleet.hello", 500),
                own.number("fleet.quiet", 3000),
                own.number("fleet.delay", 1000),
                own.number("fleet.drift", 0.01),
                own.number("fleet.cut", 0.5));
        require(
                setup.quietMs() >= HELLOS * setup.helloMs(),
                "fleet.quiet",
                "less than " + HELLOS + " times fleet.hello");
        require(setup.quietMs() > setup.delayMs(), "fleet.quiet", "not more than fleet.delay");
        String text = own.text("fleet.listen", "");
        InetSocketAddress listen = text.isEmpty() ? addresses.get(self) : address("fleet.listen", text);
        require(!listen.isUnresolved(), "fleet.listen", "no such host: " + listen.getHostString());
        Sharing sharing = sharing(own, config);
        return new FleetConfig(
                setup,
                listen,
                addresses,
                sharing,
                CalendarFile.read(own.text("fleet.calendars", "")),
                own.flag("fleet.first", false));
    }

    private static Sharing sharing(Values own, Config config) {
        ContractFile file = ContractFile.read(
                own.text("fleet.contracts", ""), config.zones().names());
        boolean bookings = own.flag("fleet.bookings", false);
        return new Sharing(
                own.number("fleet.repeats", 0),
                file.contracts(),
                file.version(),
                file.given(),
                own.number("fleet.contract_term", 10_000),
                bookings,
                own.number("fleet.bookable", 0.3),
                own.number("fleet.skew", 1000));
    }

    private static Map<String, InetSocketAddress> peers(List<String> texts) {
        Map<String, InetSocketAddress> all = new LinkedHashMap<>();
        Map<String, String> taken = new LinkedHashMap<>();
        for (String text : texts) {
            int equals = text.indexOf('=');
            String name = equals < 0 ? "" : text.substring(0, equals).strip();
            require(NAME.matcher(name).matches(), "fleet.peers", "not name=host:port: " + text);
            InetSocketAddress at =
                    address("fleet.peers", text.substring(equals + 1).strip());
            require(all.put(name, at) == null, "fleet.peers", name + " stands there twice");
            String other = taken.put(HostPort.of(at), name);
            require(other == null, "fleet.peers", name + " and " + other + " have one address");
        }
        require(!all.isEmpty(), "fleet.peers", "no relay");
        return Collections.unmodifiableMap(all); // Map.copyOf would lose the order
    }

    private static List<String> voters(List<String> names, List<String> members) {
        require(names.size() == 3 || names.size() == 5, "fleet.voters", names.size() + " names, 3 or 5 are needed");
        require(new HashSet<>(names).size() == names.size(), "fleet.voters", "a name stands there twice");
        List<String> strangers = new ArrayList<>(names);
        strangers.removeAll(members);
        require(strangers.isEmpty(), "fleet.voters", String.join(", ", strangers) + " not among fleet.peers");
        return List.copyOf(names);
    }

    private static InetSocketAddress address(String field, String text) {
        try {
            InetSocketAddress at = HostPort.parse(text);
            require(at.getPort() > 0, field, "no port that others could know: " + text);
            return at;
        } catch (IllegalArgumentException e) {
            throw new Fault.BadSetup(field, e.getMessage());
        }
    }

    private static void require(boolean holds, String field, String why) {
        if (!holds) {
            throw new Fault.BadSetup(field, why);
        }
    }
}
