package firstair.fleet;

import firstair.fleet.talk.Note;

/** Where the fleet's decisions send notes and reports. */
public interface Outbox {
    /** Sends a note to a member once; delivery is not guaranteed. */
    void send(String to, Note note);

    /** Logs a line for the operators. */
    void report(String text);
}
