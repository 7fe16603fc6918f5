package firstair.fleet;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import firstair.fleet.fault.Fault;
import firstair.fleet.ledger.AgreedContracts;
import firstair.fleet.ledger.Outcome;
import firstair.fleet.residency.Contract;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Contracts as the ledger keeps them: one JSON object each, the same for the same content. */
final class ContractTexts {
    private ContractTexts() {}

    static List<String> write(Map<String, Contract> contracts) {
        List<String> all = new ArrayList<>();
        for (Contract c : contracts.values()) {
            JsonObject o = new JsonObject();
            o.addProperty("tenant", c.tenant());
            o.add("zones", names(c.zones()));
            JsonObject classes = new JsonObject();
            c.classes().forEach((name, zones) -> classes.add(name, names(zones)));
            o.add("classes", classes);
            o.add("always", names(c.always()));
            o.addProperty("calls_per_s", c.callsPerS());
            o.addProperty("from", c.from());
            all.add(o.toString());
        }
        return all;
    }

    private static JsonArray names(Set<String> zones) {
        JsonArray all = new JsonArray();
        new TreeSet<>(zones).forEach(all::add);
        return all;
    }

    /** @throws Fault.Unreadable if one is no contract */
    static Map<String, Contract> read(List<String> texts) {
        Map<String, Contract> all = new LinkedHashMap<>();
        for (String text : texts) {
            try {
                JsonObject o = JsonParser.parseString(text).getAsJsonObject();
                Map<String, Set<String>> classes = new LinkedHashMap<>();
                o.getAsJsonObject("classes").entrySet().forEach(e -> classes.put(e.getKey(), zones(e.getValue())));
                Contract c = new Contract(
                        o.get("tenant").getAsString(),
                        zones(o.get("zones")),
                        classes,
                        zones(o.get("always")),
                        o.get("calls_per_s").getAsDouble(),
                        o.get("from").getAsLong());
                all.put(c.tenant(), c);
            } catch (JsonParseException
                    | IllegalStateException
                    | UnsupportedOperationException
                    | NullPointerException
                    | NumberFormatException e) {
                throw new Fault.Unreadable("a contract in the ledger: " + e.getMessage());
            }
        }
        return all;
    }

    private static Set<String> zones(JsonElement array) {
        Set<String> all = new TreeSet<>();
        array.getAsJsonArray().forEach(z -> all.add(z.getAsString()));
        return all;
    }

    /** What came of proposing contracts, for operators. */
    static String told(Outcome outcome) {
        if (outcome instanceof Outcome.Agreed agreed) {
            AgreedContracts.Put put = AgreedContracts.result(agreed.result());
            return put.taken() ? "agreed" : "not taken, version " + put.version() + " is in force";
        } else if (outcome instanceof Outcome.Refused refused) {
            return refused.code() + ": " + refused.what() + "; " + refused.step();
        }
        return ((Outcome.NotNow) outcome).fault().line();
    }
}
