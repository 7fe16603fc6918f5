/** Discovery of endpoints: parses the list and keeps it up to date. */
package firstair.relay.discovery;
