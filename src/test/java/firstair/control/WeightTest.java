package firstair.control;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.management.ThreadMXBean;
import firstair.control.Controller.ListUpdate;
import firstair.control.Controller.Listing;
import firstair.control.Controller.Result;
import java.lang.management.ManagementFactory;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Memory of the controller and allocation of a round while endpoints, keys and messages keep changing. */
class WeightTest {

    /** Number of objects reachable from the root, without the host. */
    private static int reachable(Object root) throws IllegalAccessException {
        Set<Object> seen = Collections.newSetFromMap(new IdentityHashMap<>());
        Deque<Object> todo = new ArrayDeque<>(List.of(root));
        while (!todo.isEmpty()) {
            Object o = todo.pop();
            if (!seen.add(o)) {
                continue;
            }
            if (o instanceof Map<?, ?> m) {
                m.values().forEach(todo::push);
                m.keySet().forEach(todo::push);
            } else if (o instanceof Collection<?> c) {
                c.forEach(todo::push);
            } else if (o.getClass().getName().startsWith(Control.class.getName())) {
                for (Field f : o.getClass().getDeclaredFields()) {
                    f.setAccessible(true);
                    Object value = Modifier.isStatic(f.getModifiers()) ? null : f.get(o);
                    if (value != null && !(value instanceof Bench)) {
                        todo.push(value);
                    }
                }
            }
        }
        return seen.size();
    }

    private static void generation(Bench bench, int n) {
        String fresh = "1/0/g" + n;
        bench.control.list(
                bench.now,
                ListUpdate.CHANGES,
                List.of(Bench.entry(fresh, Listing.ACTIVE), Bench.entry("1/0/g" + (n - 1), Listing.LEFT)));
        bench.accept(0, 1, "key" + n, 10_000, false);
        bench.accept(1, 1, "key" + n, 10_000, false);
        bench.run(2_000, n % 5 == 0 ? Result.RESET : Result.OK, 100);
    }

    @Test
    void endpointsKeysAndMessagesThatAreGoneLeaveNothing() throws Exception {
        Bench bench = new Bench(Bench.settings(Bench.ORDERED, Bench.KEYED));
        for (int n = 1; n <= 50; n++) {
            generation(bench, n);
        }
        int before = reachable(bench.control);
        for (int n = 51; n <= 350; n++) {
            generation(bench, n);
        }
        assertThat(bench.sent.stream().filter(s -> s.endpoint().endsWith("g350")))
                .isNotEmpty();
        assertThat(reachable(bench.control)).isBetween(before / 2, before + before / 5);
    }

    @Test
    void anEndpointThatIsBackOnTheListSoonIsKnownStill() {
        Bench bench = new Bench(Bench.settings(Bench.SAFE)).endpoints("1/0/a");
        bench.accept(0, 1);
        bench.run(9_000, Result.RESET, 10);
        assertThat(bench.reports).anyMatch(r -> r.contains("sick"));
        bench.control.list(bench.now, ListUpdate.CHANGES, List.of(Bench.entry("1/0/a", Listing.LEFT)));
        bench.run(1_000, Result.OK, 10);
        bench.control.list(bench.now, ListUpdate.CHANGES, List.of(Bench.entry("1/0/a", Listing.ACTIVE)));
        bench.accept(0, 1);
        bench.run(5_000, Result.OK, 10);
        assertThat(bench.reports).anyMatch(r -> r.contains("answers again"));
    }

    /** A relay with a part of a core must not spend it on waiting messages. */
    @Test
    void aRoundOverManyThatWaitMakesLittleGarbage() {
        Bench bench = new Bench(Bench.settings(Bench.SAFE)).endpoints("1/0/a", "1/0/b", "2/0/c", "3/0/d");
        for (int i = 0; i < 90; i++) {
            bench.accept(0, 1 + i % 3);
        }
        bench.decide();
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        int rounds = 200;
        long before = threads.getThreadAllocatedBytes(Thread.currentThread().getId());
        for (int i = 0; i < rounds; i++) {
            bench.now += 1;
            bench.decide();
        }
        long bytes = threads.getThreadAllocatedBytes(Thread.currentThread().getId()) - before;
        assertThat(bytes / rounds / 90).isLessThan(150); // bytes a round for each waiting message
    }
}
