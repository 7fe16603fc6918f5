package firstair.relay.net;

import java.io.FileDescriptor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.nio.channels.ServerSocketChannel;
import java.util.logging.Logger;

/**
 * Has the system refuse new connections to a socket that listens, while those that it has completed can still be
 * accepted. To close the socket, or to shut it down, resets these.
 *
 * <p>The socket is bound to a network interface that does not exist: from then on the system finds no listener for a
 * new connection and refuses it at once, and nothing else changes. The option is {@code SO_BINDTOIFINDEX} of Linux,
 * which needs no privilege from 5.7 on. Java has no public way to it, and the way through its own classes is open where
 * {@code java.base/sun.nio.ch} is; the manifest of the jar opens it.
 */
final class ConnectionRefusal {
    private static final Logger LOG = Logger.getLogger(ConnectionRefusal.class.getName());
    private static final String SYSTEM = "Linux"; // the numbers below are its
    private static final int SOL_SOCKET = 1;
    private static final int SO_BINDTOIFINDEX = 62;
    private static final int NO_SUCH_INTERFACE = 1 << 30;

    private ConnectionRefusal() {}

    /**
     * Begins it, for good.
     *
     * @return whether the system can; where it cannot, the log says why
     */
    static boolean begin(ServerSocketChannel listener) {
        String why;
        try {
            if (System.getProperty("os.name").equals(SYSTEM)) {
                setOption(listener, SO_BINDTOIFINDEX, NO_SUCH_INTERFACE);
                return true;
            }
            why = "not on this system";
        } catch (InvocationTargetException e) {
            why = String.valueOf(e.getCause());
        } catch (ReflectiveOperationException | RuntimeException e) {
            why = e.toString();
        }
        LOG.warning("new connections cannot be refused before the listener closes, a few may be reset: " + why);
        return false;
    }

    /** What {@code sun.nio.ch.Net} does for the options that Java knows. */
    private static void setOption(ServerSocketChannel listener, int option, int value)
            throws ReflectiveOperationException {
        Method descriptor = Class.forName("sun.nio.ch.SelChImpl").getMethod("getFD");
        descriptor.setAccessible(true);
        Method set = Class.forName("sun.nio.ch.Net")
                .getDeclaredMethod(
                        "setIntOption0",
                        FileDescriptor.class,
                        boolean.class,
                        int.class,
                        int.class,
                        int.class,
                        boolean.class);
        set.setAccessible(true);
        boolean converted = false; // the value needs no conversion, as that of some options of IP does
        boolean forIpv6 = false; // it is an option of the socket
        set.invoke(null, descriptor.invoke(listener), converted, SOL_SOCKET, option, value, forIpv6);
    }
}
