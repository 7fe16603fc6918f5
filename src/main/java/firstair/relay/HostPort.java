package firstair.relay;

import java.net.InetSocketAddress;

/** Parses and formats addresses as {@code host:port}. */
public final class HostPort {
    private HostPort() {}

    /**
     * Parses an address, and resolves its host name.
     *
     * @throws IllegalArgumentException if the text is not {@code host:port}
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            if (colon > 0) {
                return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (IllegalArgumentException e) {
            // not a number, or not a port: reported below
        }
        throw new IllegalArgumentException("not host:port: " + text);
    }

    /** Formats an address with the host name or literal that it was created with. */
    public static String format(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }
}
