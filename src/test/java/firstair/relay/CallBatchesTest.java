package firstair.relay;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.relay.endpoints.Item;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class CallBatchesTest {
    private static final int MAX_BODY = 1000;

    private final List<String> calls = new ArrayList<>();
    private final CallBatches batches = new CallBatches(
            endpoint -> endpoint.equals("many") ? 3 : 1,
            MAX_BODY,
            (endpoint, items) ->
                    calls.add(endpoint + items.stream().map(Item::id).toList()));

    private void add(String endpoint, long id, int bytes) {
        batches.add(endpoint, new Item(id, 0, "r" + id, null, new byte[bytes], 1000, 1e9, false));
    }

    @Test
    void aCallCarriesNoMoreMessagesThanItsEndpointAccepts() {
        for (int id = 1; id <= 4; id++) {
            add("many", id, 1);
            add("one", id, 1);
        }
        batches.flush();
        assertThat(calls).containsExactly("one[1]", "one[2]", "many[1, 2, 3]", "one[3]", "many[4]", "one[4]");
        batches.flush();
        assertThat(calls).as("nothing is left").hasSize(6);
    }

    @Test
    void onlyACallWithASingleMessageExceedsTheBodyLimit() {
        add("many", 1, MAX_BODY / 2);
        add("many", 2, MAX_BODY / 2);
        add("many", 3, 2 * MAX_BODY);
        batches.flush();
        assertThat(calls).containsExactly("many[1]", "many[2]", "many[3]");
    }
}
