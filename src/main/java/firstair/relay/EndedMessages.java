package firstair.relay;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How the messages ended last that may have run, by the request ids of their clients. A client that has left without
 * its answer may send the same request again, which must not run a second time. The oldest ends are forgotten. On the
 * loop's thread only.
 */
final class EndedMessages {
    private static final int MAX_ENDS = 4096; // about a megabyte with the longest ids

    private final Map<String, Integer> statuses = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
            return size() > MAX_ENDS;
        }
    };

    /** Remembers the status that answers a repetition of the request. */
    void add(String requestId, int status) {
        statuses.put(requestId, status);
    }

    /** The status that answers a repetition of the request, or null if no message with its id is remembered. */
    Integer status(String requestId) {
        return statuses.get(requestId);
    }
}
