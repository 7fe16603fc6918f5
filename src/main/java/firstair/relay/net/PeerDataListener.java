package firstair.relay.net;

/** Receives what other relays send. Methods are called on a selector thread and must not block. */
public interface PeerDataListener {
    /** A complete datagram or frame has been received. */
    void received(byte[] bytes);

    /** Data has been received that is neither a valid datagram nor a valid frame. */
    void malformed();
}
