package firstair.relay;

import firstair.relay.endpoints.Item;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.ToIntFunction;

/**
 * Groups the messages of one round into calls: messages to one endpoint share a call, within the number of messages
 * that the endpoint accepts per call and the size limit of a body.
 */
final class CallBatches {
    private final ToIntFunction<String> maxItems;
    private final int maxBodyBytes;
    private final Map<String, List<Item>> batches = new LinkedHashMap<>();
    private final BiConsumer<String, List<Item>> call;

    /**
     * @param maxItems     maximum number of messages per call, by endpoint
     * @param maxBodyBytes maximum size of a call's body
     * @param call         makes one call
     */
    CallBatches(ToIntFunction<String> maxItems, int maxBodyBytes, BiConsumer<String, List<Item>> call) {
        this.maxItems = maxItems;
        this.maxBodyBytes = maxBodyBytes;
        this.call = call;
    }

    /** Adds a message; if it doesn't fit into the endpoint's current batch, that batch is sent first. */
    void add(String endpoint, Item item) {
        List<Item> batch = batches.computeIfAbsent(endpoint, k -> new ArrayList<>());
        if (!fits(endpoint, batch, item)) {
            call.accept(endpoint, batch);
            batch = new ArrayList<>();
            batches.put(endpoint, batch);
        }
        batch.add(item);
    }

    private boolean fits(String endpoint, List<Item> batch, Item item) {
        int bytes = item.bundledBytes()
                + batch.stream().mapToInt(Item::bundledBytes).sum();
        return batch.isEmpty() || batch.size() < maxItems.applyAsInt(endpoint) && bytes <= maxBodyBytes;
    }

    /** Makes the remaining calls. */
    void flush() {
        batches.forEach(call);
        batches.clear();
    }
}
