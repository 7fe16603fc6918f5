/** Divides the limits that a fleet shares among its relays: leases, loans and retry budgets. */
package firstair.fleet.budget;
