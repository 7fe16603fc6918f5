/** Zones in which tenants' messages may be stored and sent, and tenants' quotas. */
package firstair.fleet.residency;
