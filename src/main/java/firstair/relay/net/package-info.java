/** Sockets: Grizzly filter chains that pass bytes between connections and state machines. */
package firstair.relay.net;
