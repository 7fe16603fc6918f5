package firstair.relay;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.relay.standin.LogLines;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class RateLimitedLoggerTest {
    private final LogLines lines = new LogLines(RateLimitedLoggerTest.class);
    private double now = 1000;
    private final RateLimitedLogger logger =
            new RateLimitedLogger(Logger.getLogger(RateLimitedLoggerTest.class.getName()), Level.WARNING, () -> now);

    @AfterEach
    void stop() {
        lines.close();
    }

    @Test
    void aKindOfLineIsLoggedOnceAMinuteWithTheNumberOfSuppressedLines() {
        for (int ms = 0; ms < 120_000; ms += 10) {
            now = 1000 + ms;
            assertThat(logger.log("bad answer " + ms)).isEqualTo(ms % 60_000 == 0);
        }
        assertThat(lines.startingWith(""))
                .containsExactly("bad answer 0", "bad answer 60000 (5999 similar lines suppressed)");
    }

    @Test
    void remoteInputIsLoggedAsOneLineOfBoundedLength() {
        logger.log("list lost: not\na list\r\n" + "x".repeat(100_000));
        assertThat(lines.startingWith(""))
                .singleElement()
                .asString()
                .startsWith("list lost: not a list xxx")
                .hasSizeLessThan(400);
    }

    /** Remote parties may be able to cause an exception with each event. */
    @Test
    void anExceptionInEveryEventDoesNotFillTheLog() throws Exception {
        try (LogLines faults = new LogLines(Loop.class)) {
            Loop loop = new Loop(0, Double.POSITIVE_INFINITY, 0);
            for (int i = 0; i < 50; i++) {
                loop.post(() -> {
                    throw new IllegalStateException("again");
                });
            }
            loop.post(loop::end);
            loop.run(() -> {});
            assertThat(faults.startingWith("fault in an event")).hasSizeLessThan(2);
        }
    }
}
