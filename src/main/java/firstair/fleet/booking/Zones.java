package firstair.fleet.booking;

import firstair.fleet.fault.Fault;
import java.time.DateTimeException;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.time.zone.ZoneOffsetTransition;
import java.util.List;

/**
 * Local times as instants. A time that never comes becomes the first instant after the gap. A time that comes twice is
 * its first coming where something starts, and its last where something ends: a span holds all that it can mean.
 */
final class Zones {
    private Zones() {}

    /** A zone by name; raises {@link Fault.BadRequest} for a field. */
    static ZoneId named(String name, String field) {
        try {
            if (name != null && !name.isEmpty()) {
                return ZoneId.of(name);
            }
        } catch (DateTimeException e) {
            throw new Fault.BadRequest(field, "no time zone of this name");
        }
        throw new Fault.BadRequest(field, "a time zone is needed");
    }

    /** When something starts, epoch ms. */
    static long start(LocalDateTime at, ZoneId zone) {
        return instant(at, zone, 0);
    }

    /** When something ends, epoch ms. */
    static long end(LocalDateTime at, ZoneId zone) {
        return instant(at, zone, 1);
    }

    private static long instant(LocalDateTime at, ZoneId zone, int which) {
        List<ZoneOffset> offsets = zone.getRules().getValidOffsets(at);
        if (offsets.isEmpty()) {
            ZoneOffsetTransition gap = zone.getRules().getTransition(at);
            return gap.getInstant().toEpochMilli();
        }
        return at.toInstant(offsets.get(Math.min(which, offsets.size() - 1))).toEpochMilli();
    }
}
