package firstair.fleet.booking;

import firstair.fleet.fault.Fault;
import java.time.DateTimeException;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.time.zone.ZoneOffsetTransition;
import java.util.List;

/**
 * Converts local times to instants. A local time inside a daylight-saving gap becomes the first instant after the gap.
 * An ambiguous local time is taken as the earlier instant for a start and as the later one for an end, so that a span
 * covers every possible meaning.
 */
final class Zones {
    private Zones() {}

    /** Parses a time zone; throws {@link Fault.BadRequest} that names the field. */
    static ZoneId parse(String name, String field) {
        try {
            if (name != null && !name.isEmpty()) {
                return ZoneId.of(name);
            }
        } catch (DateTimeException e) {
            throw new Fault.BadRequest(field, "no time zone of this name");
        }
        throw new Fault.BadRequest(field, "a time zone is needed");
    }

    /** The instant of a start, epoch ms. */
    static long startMs(LocalDateTime local, ZoneId zone) {
        return toEpochMs(local, zone, 0);
    }

    /** The instant of an end, epoch ms. */
    static long endMs(LocalDateTime local, ZoneId zone) {
        return toEpochMs(local, zone, 1);
    }

    private static long toEpochMs(LocalDateTime local, ZoneId zone, int offsetIndex) {
        List<ZoneOffset> offsets = zone.getRules().getValidOffsets(local);
        if (offsets.isEmpty()) {
            ZoneOffsetTransition gap = zone.getRules().getTransition(local);
            return gap.getInstant().toEpochMilli();
        }
        return local.toInstant(offsets.get(Math.min(offsetIndex, offsets.size() - 1)))
                .toEpochMilli();
    }
}
