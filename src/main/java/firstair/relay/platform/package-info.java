/** Notices to the platform about messages that end without being delivered. */
package firstair.relay.platform;
