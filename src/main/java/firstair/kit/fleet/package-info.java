/**
 * Tests of fleets under faults: a fleet simulated in memory and virtual time, which runs the real decision code of the
 * relays and checks its invariants after every event; and links between real processes that lose, delay, duplicate and
 * block traffic.
 */
package firstair.kit.fleet;
