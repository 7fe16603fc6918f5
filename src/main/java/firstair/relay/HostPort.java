package firstair.relay;

import java.net.InetSocketAddress;

/** Addresses as {@code host:port}. */
public final class HostPort {
    private HostPort() {}

    /** Reads one; anything else is an {@link IllegalArgumentException}. */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            if (colon > 0) {
                return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (IllegalArgumentException e) {
            // not a number, or not a port: told below
        }
        throw new IllegalArgumentException("not host:port: " + text);
    }

    /** Writes one, with the name or the number that it was given by. */
    public static String of(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }
}
