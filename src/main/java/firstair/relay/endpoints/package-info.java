/** Calls to partners' endpoints, and the connections that carry them. */
package firstair.relay.endpoints;
