package firstair.fleet.booking;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import firstair.fleet.fault.Fault;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.DayOfWeek;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalTime;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class OperationsTest {
    private static final String PUT = "{\"kind\":\"put\",\"id\":\"x\",\"team\":\"a\",\"rank\":5,"
            + "\"calls\":{\"7\":12.5,\"9\":100},\"start\":\"2026-12-31T17:00:00Z\",\"end\":\"2026-12-31T19:00:00Z\","
            + "\"wait\":true}";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static long ms(String instant) {
        return Instant.parse(instant).toEpochMilli();
    }

    @Test
    void operationsSurviveARoundTrip() {
        ClosingHours closed = new ClosingHours(
                "Asia/Kolkata",
                Set.of(DayOfWeek.SUNDAY),
                LocalTime.of(22, 0),
                LocalTime.of(6, 30),
                List.of(LocalDate.parse("2026-01-26")));
        List<Operation> all = List.of(
                Operation.Put.of("x", "a", 5, Map.of(9, 1L, 7, 12_500L), 1, 2, false),
                new Operation.Confirm("x", "a"),
                new Operation.ShowUp("x", "a"),
                new Operation.End("x", "a", "done"),
                new Operation.Extend("x", "a", 77),
                new Operation.Move("x", 5, 6, "r\u00e9sum\u00e9"),
                new Operation.Drop("x", "\"quoted\""),
                new Operation.Limit(7, 100_000_000),
                new Operation.Tick(),
                new Operation.SetTeam("a", Operation.MAX_QUOTA, "Asia/Kolkata"),
                new Operation.SetDestination(7, 1, 333_333, List.of(closed)),
                new Operation.SetRules(Rules.defaults()));
        assertThat(all).hasSize(Operation.class.getPermittedSubclasses().length);
        for (Operation o : all) {
            assertThat(Operations.read(Operations.write(o))).isEqualTo(o);
        }
        assertThat(new String(Operations.write(Operations.read(bytes(PUT))), StandardCharsets.UTF_8))
                .isEqualTo(PUT);
    }

    @Test
    void ambiguousLocalTimesCoverBothMeanings() {
        Operation.Put p = (Operation.Put) Operations.read(bytes(PUT.replace("2026-12-31T17:00:00Z", "2026-10-25T02:30")
                .replace("2026-12-31T19:00:00Z", "2026-10-25T02:30")
                .replace("\"wait\"", "\"zone\":\"Europe/Berlin\",\"wait\"")));
        assertThat(p.startMs()).isEqualTo(ms("2026-10-25T00:30:00Z"));
        assertThat(p.endMs()).isEqualTo(ms("2026-10-25T01:30:00Z"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "\"id\":\"x\" | \"id\":\"x y\" | id",
                "\"id\":\"x\" | \"id\":7 | id",
                "\"team\":\"a\", | `` | team",
                "\"rank\":5 | \"rank\":1001 | rank",
                "\"rank\":5 | \"rank\":5.5 | rank",
                "\"rank\":5 | \"rank\":5e99999999 | rank",
                "12.5 | 12.0005 | calls.7",
                "12.5 | 0 | calls.7",
                "12.5 | -1 | calls.7",
                "12.5 | \"many\" | calls.7",
                "\"7\":12.5 | \"seven\":12.5 | calls.seven",
                "{\"7\":12.5,\"9\":100} | {} | calls",
                "2026-12-31T17:00:00Z | 2026-12-31T17:00 | start",
                "2026-12-31T17:00:00Z | 2026-12-31T19:00:00Z | end",
                "\"wait\":true | \"wait\":\"yes\" | wait",
                "\"wait\":true | \"wait\":true,\"more\":1 | more",
                "\"rank\":5 | \"rank\":5,\"zone\":\"Mars/Base\" | zone",
                "\"put\" | \"put\",\"repeat\":{} | repeat",
                "{\"kind\" | {kind | body",
            })
    void faultsNameTheField(String part, String replacement, String field) {
        assertThat(PUT).contains(part);
        assertThatThrownBy(() -> Operations.read(bytes(PUT.replace(part, replacement))))
                .isInstanceOf(Fault.BadRequest.class)
                .hasMessageStartingWith(field + ": ");
    }

    @Test
    void readsTheExamplesOfTheOperatorsPage() throws IOException {
        String page = Files.readString(Path.of("docs/reservations.md"));
        String block = page.split("```json\n")[1].split("```")[0];
        Calendar berlin = berlin();
        Set<String> kinds = new HashSet<>();
        for (String example : block.split("\n(?=\\{)")) {
            List<Operation> all =
                    Operations.readAll(bytes(example), Map.of("berlin", berlin), ms("2026-01-05T00:00:00Z"));
            assertThat(all).as(example).isNotEmpty();
            kinds.add(all.get(0).getClass().getSimpleName());
        }
        assertThat(kinds).hasSize(Operation.class.getPermittedSubclasses().length);
    }

    @Test
    void writesABookingForClients() {
        Bookings all = BookingFixtures.bookings();
        all.apply(BookingFixtures.NOW, BookingFixtures.put("fees", "a", 5, 30, 10, 12))
                .orThrow();
        assertThat(new String(Operations.writeBooking(all.booking("fees")), StandardCharsets.UTF_8))
                .isEqualTo("{\"id\":\"fees\",\"team\":\"a\",\"state\":\"held\","
                        + "\"since\":\"2026-03-02T00:00:00Z\",\"cause\":\"there is room\","
                        + "\"rank\":5,\"asked\":{\"1\":30},\"calls\":{\"1\":30},\"start\":\"2026-03-02T10:00:00Z\","
                        + "\"end\":\"2026-03-02T12:00:00Z\",\"confirmBefore\":\"2026-03-02T09:45:00Z\"}");
    }

    private static Calendar berlin() {
        return new Calendar(new Calendar.Terms(
                "berlin",
                "Europe/Berlin",
                List.of("de"),
                Set.of(DayOfWeek.SATURDAY, DayOfWeek.SUNDAY),
                Set.of(),
                LocalTime.MIDNIGHT,
                LocalTime.MIDNIGHT,
                LocalTime.NOON));
    }

    @Test
    void anUnknownKindHasItsOwnFault() {
        assertThatThrownBy(() -> Operations.read(bytes("{\"kind\":\"swap\"}"))).isInstanceOf(Fault.UnknownEntry.class);
    }

    @Test
    void corruptInputOnlyThrowsFaults() {
        Random random = new Random(3);
        for (int i = 0; i < 5000; i++) {
            byte[] bytes = bytes(PUT);
            for (int k = 0; k <= random.nextInt(4); k++) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
            }
            try {
                Operations.read(bytes);
            } catch (Fault e) {
                assertThat(e.code()).startsWith("F");
            }
        }
        assertThatThrownBy(() -> Operations.read(bytes("[".repeat(100_000)))).isInstanceOf(Fault.BadRequest.class);
    }

    @Test
    void aRecurringRequestBecomesOneForEachOccurrence() {
        Calendar berlin = berlin();
        String text = "{\"kind\":\"put\",\"id\":\"fees\",\"team\":\"a\",\"rank\":5,\"calls\":{\"7\":12.5},"
                + "\"repeat\":{\"calendar\":\"berlin\",\"rule\":\"FREQ=MONTHLY\",\"first\":\"2026-03-01\","
                + "\"from\":\"18:00\",\"to\":\"20:00\",\"shift\":\"before\",\"workday\":-1,\"most\":2}}";
        long now = ms("2026-03-02T00:00:00Z");
        assertThat(Operations.readAll(bytes(text), Map.of("berlin", berlin), now))
                .containsExactly(
                        Operation.Put.of(
                                "fees.2026-03-31",
                                "a",
                                5,
                                Map.of(7, 12_500L),
                                ms("2026-03-31T16:00:00Z"),
                                ms("2026-03-31T18:00:00Z"),
                                false),
                        Operation.Put.of(
                                "fees.2026-04-30",
                                "a",
                                5,
                                Map.of(7, 12_500L),
                                ms("2026-04-30T16:00:00Z"),
                                ms("2026-04-30T18:00:00Z"),
                                false));
        assertThat(Operations.readAll(bytes(PUT), Map.of(), now)).containsExactly(Operations.read(bytes(PUT)));
        assertThatThrownBy(() -> Operations.readAll(bytes(text), Map.of(), now)).isInstanceOf(Fault.BadCalendar.class);
        assertThatThrownBy(() ->
                        Operations.readAll(bytes(text.replace("before", "nearest")), Map.of("berlin", berlin), now))
                .hasMessageContaining("repeat.shift: ");
    }
}
