package firstair.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FactsTest {
    @ParameterizedTest
    @CsvSource({"x,x,true", "how,answers,true", "names,avg_ms,false", "how,probe,false", "how,none,false"})
    void limitsAreToldInAnswersThatNameThem(String key, String value, boolean told) {
        assertThat(Facts.read(new Fields() {
            @Override
            protected String value(String name) { return Map.of("loadReport." + key, value).get(name); }

            @Override
            public RuntimeException bad(String name, String what) { throw new AssertionError(name); }
        }).limitsTold()).isEqualTo(told);
    }
}
