/** The replicated ledger: state machines that the voters keep consistent through Raft, and access for all relays. */
package firstair.fleet.ledger;
