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

/** Contracts as the ledger stores them: one JSON object each, identical for the same content. */
final class ContractJson {
    private ContractJson() {}

    static List<String> write(Map<String, Contract> contracts) {
        List<String> all = new ArrayList<>();
        for (Contract contract : contracts.values()) {
            JsonObject json = new JsonObject();
            json.addProperty("tenant", contract.tenant());
            json.add("zones", names(contract.zones()));
            JsonObject classes = new JsonObject();
            contract.classes().forEach((name, zones) -> classes.add(name, names(zones)));
            json.add("classes", classes);
            json.add("always", names(contract.always()));
            json.addProperty("calls_per_s", contract.callsPerS());
            json.addProperty("from", contract.from());
            all.add(json.toString());
        }
        return all;
    }

    private static JsonArray names(Set<String> zones) {
        JsonArray all = new JsonArray();
        new TreeSet<>(zones).forEach(all::add);
        return all;
    }

    /** @throws Fault.Unreadable if a text is not a contract */
    static Map<String, Contract> read(List<String> texts) {
        Map<String, Contract> all = new LinkedHashMap<>();
        for (String text : texts) {
            try {
                JsonObject json = JsonParser.parseString(text).getAsJsonObject();
                Map<String, Set<String>> classes = new LinkedHashMap<>();
                json.getAsJsonObject("classes").entrySet().forEach(e -> classes.put(e.getKey(), zones(e.getValue())));
                Contract contract = new Contract(
                        json.get("tenant").getAsString(),
                        zones(json.get("zones")),
                        classes,
                        zones(json.get("always")),
                        json.get("calls_per_s").getAsDouble(),
                        json.get("from").getAsLong());
                all.put(contract.tenant(), contract);
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

    /** The outcome of a proposal of contracts, for operators. */
    static String describe(Outcome outcome) {
        if (outcome instanceof Outcome.Committed agreed) {
            AgreedContracts.Put put = AgreedContracts.result(agreed.result());
            return put.accepted() ? "agreed" : "rejected, version " + put.version() + " is in force";
        } else if (outcome instanceof Outcome.Refused refused) {
            return refused.code() + ": " + refused.what() + "; " + refused.step();
        }
        return ((Outcome.NotNow) outcome).fault().line();
    }
}
