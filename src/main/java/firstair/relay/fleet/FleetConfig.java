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
 * The validated table {@code fleet} of the settings: the relays, their addresses, and what they share.
 *
 * @param setup          members, voters and timing
 * @param listen         address on which this relay receives from other relays, by UDP and TCP
 * @param addresses      addresses of all relays by name, in the order of the members, including this one
 * @param sharing        what the fleet shares besides limits
 * @param calendars      calendars for recurring bookings, by name
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
    private static final int MIN_HELLOS_PER_QUIET = 3; // some may be lost before a relay considers itself partitioned

    /**
     * Reads and validates the table.
     *
     * @return null unless both our settings and the platform enable the fleet
     * @throws ConfigException with one line that names the invalid field
     */
    public static FleetConfig of(Values localSettings, Config config) {
        boolean named = !localSettings.text("fleet.name", "").isEmpty();
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
            return validated(localSettings, config);
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

    private static FleetConfig validated(Values localSettings, Config config) {
        String fleet = localSettings.text("fleet.name", "");
        require(NAME.matcher(fleet).matches(), "fleet.name", "letters, digits, '.', '_' and '-' only: " + fleet);
        Map<String, InetSocketAddress> addresses = peers(localSettings.names("fleet.peers"));
        List<String> members = List.copyOf(addresses.keySet());
        int groupSize = config.settings().group();
        require(
                members.size() >= groupSize,
                "fleet.peers",
                members.size() + " relays, but the platform runs " + groupSize
                        + " (groupSize): together they would exceed the limits");
        String self = localSettings.text("fleet.self", "");
        self = self.isEmpty() ? config.name() : self;
        require(addresses.containsKey(self), "fleet.self", self + " is not among fleet.peers");
        List<String> voters = voters(localSettings.names("fleet.voters"), members);
        Setup setup = new Setup(
                fleet,
                self,
                config.zones().name(config.settings().zone()),
                members,
                voters,
                localSettings.number("fleet.hello", 500),
                localSettings.number("fleet.quiet", 3000),
                localSettings.number("fleet.delay", 1000),
                localSettings.number("fleet.drift", 0.01),
                localSettings.number("fleet.cut", 0.5));
        require(
                setup.quietMs() >= MIN_HELLOS_PER_QUIET * setup.helloMs(),
                "fleet.quiet",
                "less than " + MIN_HELLOS_PER_QUIET + " times fleet.hello");
        require(setup.quietMs() > setup.delayMs(), "fleet.quiet", "not more than fleet.delay");
        String text = localSettings.text("fleet.listen", "");
        InetSocketAddress listen = text.isEmpty() ? addresses.get(self) : address("fleet.listen", text);
        require(!listen.isUnresolved(), "fleet.listen", "no such host: " + listen.getHostString());
        Sharing sharing = sharing(localSettings, config);
        return new FleetConfig(
                setup,
                listen,
                addresses,
                sharing,
                CalendarFile.read(localSettings.text("fleet.calendars", "")),
                localSettings.flag("fleet.first", false));
    }

    private static Sharing sharing(Values localSettings, Config config) {
        ContractFile file = ContractFile.read(
                localSettings.text("fleet.contracts", ""), config.zones().names());
        boolean bookings = localSettings.flag("fleet.bookings", false);
        return new Sharing(
                localSettings.number("fleet.repeats", 0),
                file.contracts(),
                file.version(),
                file.configured(),
                localSettings.number("fleet.contract_term", 10_000),
                bookings,
                localSettings.number("fleet.bookable", 0.3),
                localSettings.number("fleet.skew", 1000));
    }

    private static Map<String, InetSocketAddress> peers(List<String> texts) {
        Map<String, InetSocketAddress> all = new LinkedHashMap<>();
        Map<String, String> nameByAddress = new LinkedHashMap<>();
        for (String text : texts) {
            int equals = text.indexOf('=');
            String name = equals < 0 ? "" : text.substring(0, equals).strip();
            require(NAME.matcher(name).matches(), "fleet.peers", "not name=host:port: " + text);
            InetSocketAddress address =
                    address("fleet.peers", text.substring(equals + 1).strip());
            require(all.put(name, address) == null, "fleet.peers", name + " is listed twice");
            String other = nameByAddress.put(HostPort.format(address), name);
            require(other == null, "fleet.peers", name + " and " + other + " have the same address");
        }
        require(!all.isEmpty(), "fleet.peers", "no relay is listed");
        return Collections.unmodifiableMap(all); // Map.copyOf would lose the order
    }

    private static List<String> voters(List<String> names, List<String> members) {
        require(names.size() == 3 || names.size() == 5, "fleet.voters", names.size() + " names, 3 or 5 are required");
        require(new HashSet<>(names).size() == names.size(), "fleet.voters", "a name is listed twice");
        List<String> unknown = new ArrayList<>(names);
        unknown.removeAll(members);
        require(unknown.isEmpty(), "fleet.voters", String.join(", ", unknown) + " not among fleet.peers");
        return List.copyOf(names);
    }

    private static InetSocketAddress address(String field, String text) {
        try {
            InetSocketAddress address = HostPort.parse(text);
            require(address.getPort() > 0, field, "needs a fixed port: " + text);
            return address;
        } catch (IllegalArgumentException e) {
            throw new Fault.BadSetup(field, e.getMessage());
        }
    }

    private static void require(boolean condition, String field, String why) {
        if (!condition) {
            throw new Fault.BadSetup(field, why);
        }
    }
}
