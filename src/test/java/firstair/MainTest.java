package firstair;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class MainTest {
    @Test
    void aMissingOrUnknownCommandIsAUsageError() throws Exception {
        assertThat(Main.run(new String[0])).isEqualTo(2);
        assertThat(Main.run(new String[] {"served"})).isEqualTo(2);
    }
}
