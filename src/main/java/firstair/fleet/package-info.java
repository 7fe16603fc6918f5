/** State that relays share. The code does no I/O and has no clock, thread or randomness of its own (docs/fleet.md). */
package firstair.fleet;
