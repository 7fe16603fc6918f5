package firstair.relay.fleet;

import firstair.fleet.fault.Fault;
import firstair.fleet.residency.Contract;
import java.util.Map;
import java.util.Set;

/**
 * The file with the contracts of tenants: {@code version}, an integer that increases by one with each change, and one
 * {@code [[contract]]} table each.
 *
 * @param configured whether there is such a file: then messages need a tenant
 */
record ContractFile(boolean configured, long version, Map<String, Contract> contracts) {
    /**
     * Reads the file; there is none if the path is empty.
     *
     * @throws Fault.BadSetup    if it cannot be read
     * @throws Fault.BadContract if a contract in it is invalid
     */
    static ContractFile read(String path, Set<String> zones) {
        if (path.isEmpty()) {
            return new ContractFile(false, 0, Map.of());
        }
        TomlFile file = new TomlFile("fleet.contracts", path);
        if (!(file.get("version") instanceof Long version) || version < 1) {
            throw file.error("version must be an integer of at least 1");
        }
        return new ContractFile(true, version, Contract.read(file.tables("contract"), zones));
    }
}
