import java.util.ArrayList;
import java.util.List;

/** The settings of a small deployment, as nested JSON; what a case does not set is the same in all of them. */
final class Settings {
    private final List<String> classes = new ArrayList<>();
    String discovery = "ask";
    String zones = "\"here\"";
    String kinds = "\"small\"";
    String bundleMax = "1";
    String apart = "false";
    String reports = "\"answers\",\"names\":\"x0,x1\"";
    int maxCalls = 12;
    int maxOpen = 200;
    int maxAttempts = 6;
    boolean retryAfter = true;
    int connIdleMs = 10_000;
    int connectTimeoutMs = 1000;
    int drainGraceMs = 1000;
    int settleMs = 0;
    int groupSize = 1;
    int slot; // its number among them
    int zone; // its zone

    /**
     * Adds a class.
     *
     * @param semantics retryable, dedup or fragile
     * @param group     all or zone
     */
    Settings messageClass(
            String name, String semantics, String group, int aimMs, int deadlineMs, int windowMs, boolean sequential) {
        classes.add("{\"name\":\"" + name + "\",\"semantics\":\"" + semantics + "\",\"group\":\"" + group
                + "\",\"aim\":" + aimMs + ",\"deadline\":" + deadlineMs + ",\"repeatWindow\":" + windowMs
                + ",\"importance\":1.0,\"lateValue\":0.5,\"streaming\":false"
                + (sequential ? ",\"sequential\":true" : "") + "}");
        return this;
    }

    String json() {
        return "{\"groupSize\":" + groupSize + ",\"slotNo\":" + slot + ",\"az\":" + zone + ",\"azs\":[" + zones
                + "],\"discovery\":\"" + discovery
                + "\",\"quantum\":5.0,\"weightKind\":\"none\",\"shapes\":[" + kinds + "],\"classes\":["
                + String.join(",", classes) + "],\"familyInfo\":{\"bundleMax\":[" + bundleMax + "],\"kindApart\":["
                + apart + "],\"late\":\"halving\",\"maxCalls\":" + maxCalls + "},\"loadReport\":{\"how\":" + reports
                + "},\"limits\":{\"cancelling\":true,\"connIdle\":" + connIdleMs + ",\"connectTimeout\":"
                + connectTimeoutMs + ",\"maxAttempts\":" + maxAttempts + ",\"maxOpen\":" + maxOpen
                + ",\"maxRetryAfter\":3000,\"retryAfter\":" + retryAfter
                + ",\"mayDuplicate\":false,\"multiplex\":1,\"peers\":false,\"probes\":false},"
                + "\"safety\":{\"answerSlack\":20,\"askEvery\":10000,\"drainGrace\":" + drainGraceMs
                + ",\"fallMultiple\":1.5,\"overloadFor\":2000,\"startCapacity\":0.26,\"warmAfter\":10000"
                + (settleMs > 0 ? ",\"settleAfterDoubt\":" + settleMs : "") + "}}";
    }
}
