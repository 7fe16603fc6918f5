/** Evidence of all relays on the health of endpoints and destinations. */
package firstair.fleet.judge;
