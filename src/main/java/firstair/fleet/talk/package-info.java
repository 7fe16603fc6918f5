/** Notes exchanged between relays and their binary encoding. */
package firstair.fleet.talk;
