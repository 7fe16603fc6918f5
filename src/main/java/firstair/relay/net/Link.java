package firstair.relay.net;

import firstair.relay.http.Head;

/**
 * One connection that the relay opens to a peer, with one request at a time on it. No method throws: what goes wrong
 * below comes as {@link Exchange#broken}.
 */
public interface Link {
    /**
     * What comes of one request. Exactly one of {@link #done}, {@link #broken} and {@link #unasked} comes, unless
     * it was left; calls come from the selector's thread or from the thread that sends, and must not block.
     */
    interface Exchange {
        /**
         * The connection is up and nothing has been sent on it: opened without a request. What comes of it until one
         * is sent is told here, too.
         */
        default void up() {}

        /** Something of an answer has come, and not yet all of it. */
        default void begun() {}

        /** What {@link #begun} told of was an interim answer, which is over; the answer is yet to begin. */
        default void interim() {}

        /** The answer's first line says so, whatever follows it. */
        default void first(int status) {}

        /** A header line of the answer is whole, whatever follows it; the name in lower case. */
        default void field(String name, String value) {}

        /** Start line and headers of the answer. */
        void head(Head head);

        /** A piece of the answer's body, valid during the call only. */
        void body(byte[] bytes, int offset, int length);

        /**
         * The answer is whole.
         *
         * @param reusable the connection can carry another request
         * @param alone    nothing came behind it
         */
        void done(boolean reusable, boolean alone);

        /**
         * The connection never came up or broke, or what came is no answer and the connection has been closed;
         * {@code maybeArrived} unless the last byte was not written.
         */
        void broken(boolean maybeArrived);

        /**
         * In place of {@link #broken}: the connection could not be asked for, by a failure of this machine that says
         * nothing of the peer (no descriptor, no buffer, no port, no route).
         */
        default void unasked() {
            broken(false);
        }
    }

    /**
     * Sends a request; false if the connection has ended meanwhile. Then nothing more is told of it, but for the
     * exchange that it was opened for, which hears that it broke.
     */
    boolean send(byte[] request, Exchange next);

    /** Whether it has carried a request, waits for the next one and has not ended, as far as is known. */
    boolean idle();

    /**
     * Sends nothing on a connection that is up: it stands idle from now on. False if it has ended, is not up yet or
     * something has come on it, and then nothing has been done.
     */
    boolean keep();

    /** Whether the connection has not come up yet. */
    boolean connecting();

    /**
     * Ends the connection and the wait for an answer; nothing more is told of the exchange.
     *
     * @return whether the request may have arrived
     */
    boolean leave();

    /**
     * Gives up a request whose answer is waited for, by ending our sending. The exchange goes on until the peer
     * ends the connection too, so that both sides agree on when the request was over.
     *
     * @return false if no whole request is out; then nothing has been done
     */
    boolean halt();
}
