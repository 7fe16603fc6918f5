package firstair;

import java.lang.reflect.Proxy;
import java.util.logging.Logger;

/** The signals that the virtual machine would otherwise answer by ending. */
final class Signals {
    private static final Logger LOG = Logger.getLogger(Signals.class.getName());

    private Signals() {}

    /**
     * Runs a task at each SIGHUP, on a thread of its own, in place of the end that the virtual machine has for it.
     * The only way to it is {@code sun.misc.Signal}, by reflection since the compiler warns of each use of that class.
     *
     * @return false if none will ever come: a process that was started with SIGHUP ignored, as {@code nohup} and some
     *         supervisors do, cannot take it back; the virtual machine leaves such a signal ignored without a word
     */
    static boolean onHangup(Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object run = Proxy.newProxyInstance(
                    Signals.class.getClassLoader(), new Class<?>[] {handler}, (self, method, args) -> {
                        if (!method.getName().equals("handle")) {
                            return method.invoke(task, args);
                        }
                        task.run();
                        return null;
                    });
            Object before = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), run);
            return !handler.getField("SIG_IGN").get(null).equals(before);
        } catch (ReflectiveOperationException e) {
            LOG.warning("SIGHUP cannot be used here: " + e); // a system without it, or -Xrs
            return false;
        }
    }
}
