/** State that survives the process: accepted messages, their delivery attempts and their outcomes. */
package firstair.relay.store;
