/** Sums of calls over all relays. */
package firstair.fleet.count;
