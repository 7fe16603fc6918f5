/** The errors of a fleet, each with a type, a stable code and a step for operators. */
package firstair.fleet.fault;
