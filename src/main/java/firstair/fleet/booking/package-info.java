/** Booking of destination capacity for batch runs. */
package firstair.fleet.booking;
