package firstair.fleet.booking;

import firstair.fleet.fault.Fault;
import java.util.List;

/**
 * Outcome of an operation.
 *
 * @param booking current state of the booking that the operation names, null if there is none
 * @param changes all events of all bookings, in order, including those caused by the passing of time
 * @param fault   why the operation was rejected, null if it was carried out
 */
public record Result(Booking booking, List<Change> changes, Fault fault) {
    /** Returns this result if the operation was carried out; throws its fault otherwise. */
    public Result orThrow() {
        if (fault != null) {
            throw fault;
        }
        return this;
    }
}
