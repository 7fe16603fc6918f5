/** Peers of a relay, played on loopback from the published protocol, with faults by script. */
package firstair.kit.standin;
