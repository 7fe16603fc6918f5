package firstair.fleet.talk;

import java.util.List;

/**
 * Notes sent from one process to another.
 *
 * @param fleet         name of the fleet; other fleets drop the envelope
 * @param version       of the encoding
 * @param from          name of the sender
 * @param incarnation   of the sender's process: higher than that of any earlier process of this name
 * @param to            name of the receiver
 * @param toIncarnation newest incarnation of the receiver known to the sender, 0 if none
 */
public record Envelope(
        String fleet, int version, String from, long incarnation, String to, long toIncarnation, List<Note> notes) {
    /** The version that this program writes. */
    public static final int VERSION = 1;
}
