package firstair.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FactsTest {
    private static Fields fields(Map<String, String> values) {
        return new Fields() {
            @Override
            protected String value(String name) { return values.get(name); }

            @Override
            public RuntimeException bad(String name, String what) {
                return new IllegalArgumentException(name + ": " + what);
            }
        };
    }

    @ParameterizedTest
    @CsvSource({",,true", "answers,'x0,x1',true", "answers,avg_ms,false", "probe,'x0,x1',false", "none,,false"})
    void limitsAreToldInAnswersThatNameThem(String how, String names, boolean told) {
        Map<String, String> values = new HashMap<>();
        if (how != null) { values.put("loadReport.how", how); }
        if (names != null) { values.put("loadReport.names", names); }
        assertThat(Facts.read(fields(values)).limitsTold()).isEqualTo(told);
    }

    @Test
    void anUnknownWordIsTold() {
        assertThatThrownBy(() -> Facts.read(fields(Map.of("loadReport.how", "shout"))))
                .hasMessageContaining("loadReport.how");
    }
}
