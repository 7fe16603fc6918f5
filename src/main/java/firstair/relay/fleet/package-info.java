/** Connects a relay to its fleet: settings, sockets, clocks, and the driver of {@code firstair.fleet}. */
package firstair.relay.fleet;
