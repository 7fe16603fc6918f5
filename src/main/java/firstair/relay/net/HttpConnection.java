package firstair.relay.net;

import firstair.relay.http.MessageHead;

/**
 * A connection that the relay opens to a peer and that carries one request at a time. No method throws; failures of the
 * layers below are reported by {@link Exchange#failed}.
 */
public interface HttpConnection {
    /**
     * Callbacks of one request and its response. Exactly one of {@link #completed}, {@link #failed} and {@link
     * #failedLocally} is called, unless the request was given up by {@link HttpConnection#abandon}. The methods run on
     * the selector thread or on the thread that sends, and must not block.
     */
    interface Exchange {
        /**
         * The connection is established and was opened without a request, so nothing has been sent on it. Events until
         * the first request is sent are reported to this exchange, too.
         */
        default void connected() {}

        /** A part of the response, but not all of it, has been received. */
        default void responseBegun() {}

        /**
         * What {@link #responseBegun} reported was an interim response, which is complete; the final one is yet to
         * begin.
         */
        default void interimEnded() {}

        /** The status line of the response has been received; the rest may still turn out to be invalid. */
        default void status(int status) {}

        /** A header line of the response has been received, its name in lower case; the rest may still be invalid. */
        default void header(String name, String value) {}

        /** Start line and headers of the response. */
        void head(MessageHead head);

        /** A part of the response body. The array is valid during the call only. */
        void body(byte[] bytes, int offset, int length);

        /**
         * The response is complete.
         *
         * @param reusable whether the connection can carry another request
         * @param alone    whether no data came after the response
         */
        void completed(boolean reusable, boolean alone);

        /**
         * The connection was not established or broke, or the response was invalid and the connection has been closed.
         *
         * @param maybeArrived false if the last byte of the request was not written
         */
        void failed(boolean maybeArrived);

        /**
         * Called in place of {@link #failed} if connecting failed on this machine, which says nothing about the peer
         * (no descriptor, no buffer, no port, no route).
         */
        default void failedLocally() {
            failed(false);
        }
    }

    /**
     * Sends a request.
     *
     * @return false if the connection has ended meanwhile; then {@code next} is not called. The exchange that the
     *     connection was opened with, if no request has been sent yet, is notified by {@link Exchange#failed}
     */
    boolean send(byte[] request, Exchange next);

    /** Whether the connection is free for a request and has not ended, as far as is known. */
    boolean idle();

    /**
     * Makes an established connection on which nothing has been sent an idle one.
     *
     * @return whether the connection is idle; false, without any effect, if it has ended, is not established yet or
     *     data has been received on it
     */
    boolean keepIdle();

    /** Whether the connection is still being established. */
    boolean connecting();

    /**
     * Closes the connection without waiting for the response; the exchange is not called any more.
     *
     * @return whether the request may have arrived
     */
    boolean abandon();

    /**
     * Gives up a request whose response is awaited by shutting down our output. The exchange lasts until the peer
     * closes the connection too, so that both sides agree on when the request ended.
     *
     * @return false, without any effect, unless a whole request has been sent and its response is awaited
     */
    boolean halt();
}
