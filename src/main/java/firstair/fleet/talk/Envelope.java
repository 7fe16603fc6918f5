package firstair.fleet.talk;

import java.util.List;

/**
 * Notes of one process to another.
 *
 * @param fleet         name of the fleet; others drop it
 * @param version       of the form in which notes are written
 * @param from          name of the sender
 * @param incarnation   of the sender's process: higher than that of all before it under this name
 * @param to            name of the receiver
 * @param toIncarnation of the receiver as the sender knows it, 0 if it knows none
 */
public record Envelope(
        String fleet, int version, String from, long incarnation, String to, long toIncarnation, List<Note> notes) {
    /** The version that this program writes. */
    public static final int VERSION = 1;
}
