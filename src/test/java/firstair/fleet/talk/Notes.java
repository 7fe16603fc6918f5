package firstair.fleet.talk;

import java.lang.reflect.Constructor;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

/** Random notes of every kind, made by reflection from their record components: a new kind needs no change here. */
final class Notes {
    private static final String LETTERS = "ab7:-\u00e4\u0f00\uD83D\uDE80";

    private Notes() {}

    static List<Class<?>> kinds() {
        return Arrays.asList(Note.class.getPermittedSubclasses());
    }

    static Envelope envelope(Random random, int notes) {
        return new Envelope(
                name(random),
                Envelope.VERSION,
                name(random),
                natural(random),
                name(random),
                natural(random),
                IntStream.range(0, notes)
                        .mapToObj(i -> (Note) some(kinds().get(random.nextInt(kinds().size())), random))
                        .toList());
    }

    /** A record with random values from the whole range of each field. */
    static Object some(Class<?> kind, Random random) {
        try {
            RecordComponent[] parts = kind.getRecordComponents();
            Constructor<?> made = kind.getDeclaredConstructor(
                    Arrays.stream(parts).map(RecordComponent::getType).toArray(Class<?>[]::new));
            Object[] values = new Object[parts.length];
            for (int i = 0; i < parts.length; i++) {
                values[i] = value(parts[i], random);
            }
            return made.newInstance(values);
        } catch (ReflectiveOperationException e) {
            throw new AssertionError(kind.toString(), e);
        }
    }

    private static Object value(RecordComponent part, Random random) {
        Class<?> type = part.getType();
        if (type == long.class) {
            return part.getName().equals("nonce") ? random.nextLong() : natural(random);
        } else if (type == int.class) {
            return (int) (natural(random) & Integer.MAX_VALUE);
        } else if (type == double.class) {
            double most = part.getName().equals("successRate") ? 1 : FieldCodec.MAX_SPAN_MS;
            return random.nextInt(4) == 0 ? (random.nextBoolean() ? 0 : most) : random.nextDouble() * most;
        } else if (type == boolean.class) {
            return random.nextBoolean();
        } else if (type == String.class) {
            return name(random);
        } else if (type == byte[].class) {
            byte[] bytes = new byte[random.nextInt(300)];
            random.nextBytes(bytes);
            return bytes;
        } else if (type.isEnum()) {
            return type.getEnumConstants()[random.nextInt(type.getEnumConstants().length)];
        }
        Class<?> item = (Class<?>) ((ParameterizedType) part.getGenericType()).getActualTypeArguments()[0];
        return IntStream.range(0, random.nextInt(20))
                .mapToObj(i -> some(item, random))
                .toList();
    }

    private static long natural(Random random) {
        return random.nextLong() >>> (1 + random.nextInt(63)); // all bit lengths equally often
    }

    private static String name(Random random) {
        int most = random.nextInt(4) == 0 ? Input.MAX_NAME_BYTES : 12;
        StringBuilder name = new StringBuilder("n");
        while (true) {
            int at = LETTERS.offsetByCodePoints(0, random.nextInt(LETTERS.codePointCount(0, LETTERS.length())));
            String longer = name + Character.toString(LETTERS.codePointAt(at));
            if (longer.getBytes(StandardCharsets.UTF_8).length > most || random.nextInt(40) == 0) {
                return name.toString();
            }
            name = new StringBuilder(longer);
        }
    }
}
