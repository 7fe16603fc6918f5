package firstair.kit.fleet;

import firstair.control.Controller.Share;
import firstair.fleet.Sharing;
import firstair.fleet.talk.Envelope;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Defects that are planted in relay logic and that the invariants have to catch. */
enum Defect {
    /** Uses its part for 2 s after it has expired. */
    USES_EXPIRED_PART("parts of a limit") {
        @Override
        RelayLogic create(SimulatedProcess process, Sharing settings, List<Integer> destinations) {
            return new RealRelayLogic(process, settings, destinations, FleetDefaults.EPOCH_MS) {
                @Override
                public void share(int destination, Share share) {
                    super.share(
                            destination,
                            new Share(share.part(), share.until() + 2000, share.guaranteed(), share.repeats()));
                }
            };
        }
    },

    /** Continues to use a part that it has just lent. */
    USES_LENT_PART("parts of a limit") {
        @Override
        RelayLogic create(SimulatedProcess process, Sharing settings, List<Integer> destinations) {
            return new RealRelayLogic(process, settings, destinations, FleetDefaults.EPOCH_MS) {
                private final Map<Integer, Share> lastShares = new HashMap<>();

                @Override
                public void share(int destination, Share share) {
                    Share before = lastShares.put(destination, share);
                    super.share(destination, before != null && before.part() > share.part() ? before : share);
                }
            };
        }
    },

    /** Starts with its equal part before it holds its lease. */
    STARTS_WITH_EQUAL_PART("parts of a limit") {
        @Override
        RelayLogic create(SimulatedProcess process, Sharing settings, List<Integer> destinations) {
            return new RealRelayLogic(process, settings, destinations, FleetDefaults.EPOCH_MS) {
                private final double startedAt = process.now();

                @Override
                public void share(int destination, Share share) {
                    boolean justStarted =
                            process.now() - startedAt < process.setup().quietMs();
                    double equalPart = 1.0 / process.setup().members().size();
                    super.share(
                            destination,
                            justStarted
                                    ? new Share(
                                            Math.max(equalPart, share.part()),
                                            share.until(),
                                            equalPart,
                                            share.repeats())
                                    : share);
                }
            };
        }
    },

    /** Has a clock that is slow by a third. */
    SLOW_CLOCK("parts of a limit") {
        @Override
        RelayLogic create(SimulatedProcess process, Sharing settings, List<Integer> destinations) {
            return new RealRelayLogic(process, settings, destinations, FleetDefaults.EPOCH_MS) {
                private final double startedAt = process.now();

                private double slowed(double now) {
                    return startedAt + (now - startedAt) * 2 / 3;
                }

                @Override
                public void receive(double now, Envelope envelope) {
                    super.receive(slowed(now), envelope);
                }

                @Override
                public void timer(double now) {
                    super.timer(slowed(now));
                }

                @Override
                public void refresh(double now) {
                    super.refresh(slowed(now));
                }

                @Override
                public void wake(double inMs) {
                    super.wake(inMs * 1.5);
                }

                @Override
                public void share(int destination, Share share) {
                    super.share(
                            destination,
                            new Share(
                                    share.part(),
                                    startedAt + (share.until() - startedAt) * 1.5,
                                    share.guaranteed(),
                                    share.repeats()));
                }
            };
        }
    },

    /** Ignores changes of the zones of held messages. */
    IGNORES_ZONE_CHANGES("zones of tenants") {
        @Override
        RelayLogic create(SimulatedProcess process, Sharing settings, List<Integer> destinations) {
            return new RealRelayLogic(process, settings, destinations, FleetDefaults.EPOCH_MS) {
                @Override
                public void recheckZones() {
                    // the change is ignored
                }
            };
        }
    },

    /** Grants leases as soon as it starts, though an earlier process of its name may have granted them to others. */
    IGNORES_EARLIER_GRANTS("parts of a limit") {
        @Override
        RelayLogic create(SimulatedProcess process, Sharing settings, List<Integer> destinations) {
            return new RealRelayLogic(process, settings, destinations, FleetDefaults.EPOCH_MS, process.now() - 60_000);
        }
    };

    /** Name of the invariant that catches it. */
    final String caughtBy;

    Defect(String caughtBy) {
        this.caughtBy = caughtBy;
    }

    RelayLogic create(SimulatedProcess process, Sharing settings, List<Integer> destinations) {
        return new RealRelayLogic(process, settings, destinations, FleetDefaults.EPOCH_MS);
    }
}
