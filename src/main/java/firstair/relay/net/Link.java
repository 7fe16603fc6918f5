package firstair.relay.net;

import firstair.relay.http.Head;

/**
 * One connection that the relay opens to a peer, with one request at a time on it. No method throws: what goes wrong
 * below comes as {@link Exchange#broken}.
 */
public interface Link {
    /**
     * What comes of one request. Exactly one of {@link #done} and {@link #broken} comes, unless it was left; calls
     * come from the selector's thread or from the thread that sends, and must not block.
     */
    interface Exchange {
        /** Something of an answer has come, and not yet all of it. */
        default void begun() { }

        /** The answer's first line says so, whatever follows it. */
        default void first(int status) { }

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
    }

    /** Sends a further request; false if the connection has ended meanwhile, and then nothing more is told of it. */
    boolean send(byte[] request, Exchange next);

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
