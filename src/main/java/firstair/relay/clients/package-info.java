/** Connections and requests of clients, which submit messages. */
package firstair.relay.clients;
