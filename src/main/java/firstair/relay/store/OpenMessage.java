package firstair.relay.store;

import java.util.ArrayList;
import java.util.List;

/** A message that is not completed, with its calls and its notice. */
public final class OpenMessage {
    private static final int ATTEMPTS_RESERVE_BYTES = 1024; // reserved for the calls and the outcome of each message

    private StoredMessage message;
    private long messageBytes; // upper bound for the record of the message itself
    private final List<StoredAttempt> attempts = new ArrayList<>();
    private long attemptBytes; // upper bound for the records of its calls
    private PendingNotice pendingNotice;

    OpenMessage(StoredMessage accepted) {
        setMessage(accepted);
    }

    private void setMessage(StoredMessage current) {
        message = current;
        messageBytes = DelimiterFraming.maxFrameBytes(Records.maxAcceptedBytes(current));
    }

    /** The message; without its body once only its notice is pending. */
    public StoredMessage message() {
        return message;
    }

    /** The calls made so far. */
    public List<StoredAttempt> attempts() {
        return List.copyOf(attempts);
    }

    /** The notice that the platform has not confirmed yet, or null. */
    public PendingNotice pendingNotice() {
        return pendingNotice;
    }

    int attemptCount() {
        return attempts.size();
    }

    boolean hasAttempt(int attempt) {
        return attempt >= 0 && attempt < attempts.size();
    }

    void addAttempt(StoredAttempt attempt) {
        attempts.add(attempt);
        attemptBytes += DelimiterFraming.maxFrameBytes(Records.attemptStarted(message.id(), attempt).length);
    }

    void setMaybeRan(int attempt, boolean maybeRan) {
        attempts.set(attempt, attempts.get(attempt).withMaybeRan(maybeRan));
    }

    /** Sets the notice; the body is no longer needed. */
    void setPendingNotice(PendingNotice notice) {
        pendingNotice = notice;
        setMessage(message.withoutBody());
    }

    void convertTimes(StoredTimes times) {
        message = message.withDeadlineAt(times.deadlineAt(message.deadlineAt()));
        attempts.replaceAll(attempt -> attempt.withSentAt(times.sentAt(attempt.sentAt())));
    }

    /** Upper bound for the bytes of its records in a new file, with reserve for further calls and its outcome. */
    long reservedBytes() {
        return messageBytes + Math.max(ATTEMPTS_RESERVE_BYTES, attemptBytes);
    }

    /** The contents of its records in a new file. */
    List<byte[]> records() {
        List<byte[]> contents = new ArrayList<>();
        contents.add(Records.accepted(message));
        attempts.forEach(attempt -> contents.add(Records.attemptStarted(message.id(), attempt)));
        if (pendingNotice != null) {
            contents.add(Records.pendingNotice(message.id(), pendingNotice));
        }
        return contents;
    }
}
