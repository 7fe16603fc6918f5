package firstair.kit.fleet;

import firstair.fleet.Setup;
import firstair.fleet.talk.Envelope;
import firstair.fleet.talk.Note;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Minimal relay logic: sends a hello to a random member at intervals and always uses its equal part. */
class HelloLogic implements RelayLogic {
    static final int DESTINATION = 1;

    final SimulatedProcess process;
    final List<Envelope> received = new ArrayList<>();
    final List<Double> receivedAt = new ArrayList<>();
    private final Random random;
    private long nonce;

    HelloLogic(SimulatedProcess process) {
        this.process = process;
        this.random = new Random(process.seed());
    }

    double part() {
        return (double) process.setup().equalParts() / Setup.WHOLE;
    }

    @Override
    public void start(double now) {
        process.share(
                DESTINATION,
                part(),
                Double.POSITIVE_INFINITY,
                (double) process.setup().guaranteedParts() / Setup.WHOLE);
        timer(now);
    }

    @Override
    public void receive(double now, Envelope envelope) {
        received.add(envelope);
        receivedAt.add(now);
    }

    @Override
    public void timer(double now) {
        List<String> members = process.setup().members();
        process.send(new Envelope(
                process.setup().fleet(),
                Envelope.VERSION,
                process.name(),
                process.incarnation(),
                members.get(random.nextInt(members.size())),
                0,
                List.of(new Note.Hello(++nonce, List.of()))));
        process.wake(process.setup().helloMs());
    }
}
