package firstair.relay;

import firstair.relay.endpoints.Item;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.ToIntFunction;

/**
 * The calls of one round: messages to one endpoint travel together, as many as a call to it carries and a body holds.
 */
final class CallBatches {
    private final ToIntFunction<String> mostItems;
    private final int maxBody;
    private final Map<String, List<Item>> open = new LinkedHashMap<>();
    private final BiConsumer<String, List<Item>> call;

    /**
     * @param mostItems the most messages of a call, by endpoint
     * @param maxBody   the most bytes of a call's body
     * @param call      makes one call
     */
    CallBatches(ToIntFunction<String> mostItems, int maxBody, BiConsumer<String, List<Item>> call) {
        this.mostItems = mostItems;
        this.maxBody = maxBody;
        this.call = call;
    }

    /** Adds a message; a call that has no room for it is made. */
    void add(String endpoint, Item item) {
        List<Item> batch = open.computeIfAbsent(endpoint, k -> new ArrayList<>());
        if (!fits(endpoint, batch, item)) {
            call.accept(endpoint, batch);
            batch = new ArrayList<>();
            open.put(endpoint, batch);
        }
        batch.add(item);
    }

    private boolean fits(String endpoint, List<Item> batch, Item item) {
        int bytes = item.bundledBytes()
                + batch.stream().mapToInt(Item::bundledBytes).sum();
        return batch.isEmpty() || batch.size() < mostItems.applyAsInt(endpoint) && bytes <= maxBody;
    }

    /** Makes the calls that are left. */
    void flush() {
        open.forEach(call);
        open.clear();
    }
}
