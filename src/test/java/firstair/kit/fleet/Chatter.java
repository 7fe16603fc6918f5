package firstair.kit.fleet;

import firstair.fleet.Setup;
import firstair.fleet.talk.Envelope;
import firstair.fleet.talk.Note;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Says hello to somebody every now and then, and uses its even part whatever happens: enough to try a fleet on. */
class Chatter implements Played {
    static final int DESTINATION = 1;

    final Life life;
    final List<Envelope> heard = new ArrayList<>();
    final List<Double> heardAt = new ArrayList<>();
    private final Random random;
    private long nonce;

    Chatter(Life life) {
        this.life = life;
        this.random = new Random(life.seed());
    }

    double part() {
        return (double) life.setup().equalParts() / Setup.WHOLE;
    }

    @Override
    public void start(double now) {
        life.share(
                DESTINATION,
                part(),
                Double.POSITIVE_INFINITY,
                (double) life.setup().guaranteedParts() / Setup.WHOLE);
        timer(now);
    }

    @Override
    public void heard(double now, Envelope envelope) {
        heard.add(envelope);
        heardAt.add(now);
    }

    @Override
    public void timer(double now) {
        List<String> members = life.setup().members();
        life.send(new Envelope(
                life.setup().fleet(),
                Envelope.VERSION,
                life.name(),
                life.incarnation(),
                members.get(random.nextInt(members.size())),
                0,
                List.of(new Note.Hello(++nonce, List.of()))));
        life.wake(life.setup().helloMs());
    }
}
