/** Fleet membership by heartbeats, indirect probes and gossip. */
package firstair.fleet.member;
