/** Runs relays as separate processes: starts and signals them, and reads their logs. */
package firstair.kit.run;
