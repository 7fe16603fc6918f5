package firstair.relay.net;

import java.io.FileDescriptor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.nio.channels.ServerSocketChannel;
import java.util.logging.Logger;

/**
 * Makes the system refuse new connections to a listening socket, while connections that it has already completed can
 * still be accepted. Closing the socket or shutting it down would reset those.
 *
 * <p>The socket is bound to a network interface that does not exist: from then on the system finds no listener for a
 * new connection and refuses it at once; nothing else changes. The option is {@code SO_BINDTOIFINDEX} of Linux, which
 * needs no privilege since kernel 5.7. Java has no public API for it; its internal classes are accessible only if
 * {@code java.base/sun.nio.ch} is opened, which the manifest of the jar does.
 */
final class ConnectionRefusal {
    private static final Logger LOG = Logger.getLogger(ConnectionRefusal.class.getName());
    private static final String SUPPORTED_OS = "Linux"; // the option numbers below are those of Linux
    private static final int SOL_SOCKET = 1;
    private static final int SO_BINDTOIFINDEX = 62;
    private static final int NO_SUCH_INTERFACE = 1 << 30;

    private ConnectionRefusal() {}

    /**
     * Starts to refuse new connections; this cannot be undone.
     *
     * @return whether the system supports it; if not, a warning with the reason is logged
     */
    static boolean start(ServerSocketChannel listener) {
        String reason;
        try {
            if (System.getProperty("os.name").equals(SUPPORTED_OS)) {
                setOption(listener, SO_BINDTOIFINDEX, NO_SUCH_INTERFACE);
                return true;
            }
            reason = "not supported on this system";
        } catch (InvocationTargetException e) {
            reason = String.valueOf(e.getCause());
        } catch (ReflectiveOperationException | RuntimeException e) {
            reason = e.toString();
        }
        LOG.warning("cannot refuse new connections before the listener closes, a few may be reset: " + reason);
        return false;
    }

    /** Sets an option the way {@code sun.nio.ch.Net} does for the options that Java supports. */
    private static void setOption(ServerSocketChannel listener, int option, int value)
            throws ReflectiveOperationException {
        Method getDescriptor = Class.forName("sun.nio.ch.SelChImpl").getMethod("getFD");
        getDescriptor.setAccessible(true);
        Method setIntOption = Class.forName("sun.nio.ch.Net")
                .getDeclaredMethod(
                        "setIntOption0",
                        FileDescriptor.class,
                        boolean.class,
                        int.class,
                        int.class,
                        int.class,
                        boolean.class);
        setIntOption.setAccessible(true);
        boolean converted = false; // only some options of IP need a conversion of their value
        boolean forIpv6 = false; // it is an option of the socket level
        setIntOption.invoke(null, getDescriptor.invoke(listener), converted, SOL_SOCKET, option, value, forIpv6);
    }
}
