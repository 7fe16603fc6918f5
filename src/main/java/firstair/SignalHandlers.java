package firstair;

import java.lang.reflect.Proxy;
import java.util.logging.Logger;

/** Handles signals whose default action in the virtual machine is to exit. */
final class SignalHandlers {
    private static final Logger LOG = Logger.getLogger(SignalHandlers.class.getName());

    private SignalHandlers() {}

    /**
     * Runs a task at each SIGHUP, on a thread of its own, in place of the virtual machine's exit. The JDK offers this
     * through {@code sun.misc.Signal} only, which is called by reflection because the compiler warns of each use.
     *
     * @return false if the signal is never delivered: in a process that was started with SIGHUP ignored, as by {@code
     *         nohup} and some supervisors, the virtual machine leaves it ignored and reports no error
     */
    static boolean onHangup(Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object signalHandler = Proxy.newProxyInstance(
                    SignalHandlers.class.getClassLoader(), new Class<?>[] {handler}, (proxy, method, args) -> {
                        if (!method.getName().equals("handle")) {
                            return method.invoke(task, args);
                        }
                        task.run();
                        return null;
                    });
            Object previous = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), signalHandler);
            return !handler.getField("SIG_IGN").get(null).equals(previous);
        } catch (ReflectiveOperationException e) {
            LOG.warning("cannot handle SIGHUP: " + e); // a system without the signal, or -Xrs
            return false;
        }
    }
}
