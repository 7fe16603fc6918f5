/** Stand-ins on loopback for the peers of a relay, written from the published protocol, with injected faults. */
package firstair.kit.standin;
