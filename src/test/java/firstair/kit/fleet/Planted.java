package firstair.kit.fleet;

import firstair.control.Controller.Share;
import firstair.fleet.Sharing;
import firstair.fleet.talk.Envelope;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Defects that the invariants have to catch. */
enum Planted {
    /** Goes on with its part for a while after it is over. */
    OVERSTAYS("parts of a limit") {
        @Override
        Played play(Life life, Sharing settings, List<Integer> destinations) {
            return new FleetPlayed(life, settings, destinations, Fleets.EPOCH_MS) {
                @Override
                public void share(int destination, Share s) {
                    super.share(destination, new Share(s.part(), s.until() + 2000, s.guaranteed(), s.repeats()));
                }
            };
        }
    },

    /** Lends, and uses what it has lent for a moment more. */
    LENDS_LATE("parts of a limit") {
        @Override
        Played play(Life life, Sharing settings, List<Integer> destinations) {
            return new FleetPlayed(life, settings, destinations, Fleets.EPOCH_MS) {
                private final Map<Integer, Share> told = new HashMap<>();

                @Override
                public void share(int destination, Share s) {
                    Share before = told.put(destination, s);
                    super.share(destination, before != null && before.part() > s.part() ? before : s);
                }
            };
        }
    },

    /** Begins with its even part, as if it had a standing. */
    BEGINS_WHOLE("parts of a limit") {
        @Override
        Played play(Life life, Sharing settings, List<Integer> destinations) {
            return new FleetPlayed(life, settings, destinations, Fleets.EPOCH_MS) {
                private final double begun = life.now();

                @Override
                public void share(int destination, Share s) {
                    boolean young = life.now() - begun < life.setup().quietMs();
                    double even = 1.0 / life.setup().members().size();
                    super.share(
                            destination, young ? new Share(Math.max(even, s.part()), s.until(), even, s.repeats()) : s);
                }
            };
        }
    },

    /** Has a clock that loses a third of the time. */
    SLOW_CLOCK("parts of a limit") {
        @Override
        Played play(Life life, Sharing settings, List<Integer> destinations) {
            return new FleetPlayed(life, settings, destinations, Fleets.EPOCH_MS) {
                private final double begun = life.now();

                private double slow(double now) {
                    return begun + (now - begun) * 2 / 3;
                }

                @Override
                public void heard(double now, Envelope envelope) {
                    super.heard(slow(now), envelope);
                }

                @Override
                public void timer(double now) {
                    super.timer(slow(now));
                }

                @Override
                public void refresh(double now) {
                    super.refresh(slow(now));
                }

                @Override
                public void wake(double inMs) {
                    super.wake(inMs * 1.5);
                }

                @Override
                public void share(int destination, Share s) {
                    super.share(
                            destination,
                            new Share(s.part(), begun + (s.until() - begun) * 1.5, s.guaranteed(), s.repeats()));
                }
            };
        }
    },

    /** Goes on with the zones of held messages when they have changed. */
    HOLDS_ZONES("zones of tenants") {
        @Override
        Played play(Life life, Sharing settings, List<Integer> destinations) {
            return new FleetPlayed(life, settings, destinations, Fleets.EPOCH_MS) {
                @Override
                public void recheckZones() {
                    // nobody is told
                }
            };
        }
    },

    /** Grants standings as soon as it begins, though its forerunner may have promised them. */
    FORGETS_PROMISES("parts of a limit") {
        @Override
        Played play(Life life, Sharing settings, List<Integer> destinations) {
            return new FleetPlayed(life, settings, destinations, Fleets.EPOCH_MS, life.now() - 60_000);
        }
    };

    /** Which invariant catches it. */
    final String caughtBy;

    Planted(String caughtBy) {
        this.caughtBy = caughtBy;
    }

    Played play(Life life, Sharing settings, List<Integer> destinations) {
        return new FleetPlayed(life, settings, destinations, Fleets.EPOCH_MS);
    }
}
