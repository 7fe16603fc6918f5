/** Long runs of relays under injected faults, checked against the rules of delivery. */
package firstair.kit.soak;
