package firstair;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.Test;

class MainTest {
    @Test
    void anUnknownSubcommandOrNoneIsAUsageError() throws IOException {
        assertThat(Main.run(new String[0])).isEqualTo(2);
        assertThat(Main.run(new String[] {"serve"})).isEqualTo(2);
    }
}
