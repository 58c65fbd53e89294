package embershift.fleet;

import java.util.Collection;
import java.util.List;

/**
 * How a call ended: done, refused, which it never takes back, or unknown: it may have been, and may
 * still be, done.
 */
public sealed interface Answer {

    /** {@code number}: see {@link Result}. */
    record Done(long number) implements Answer {}

    /** {@code revision}: of the record that was read. */
    record Found(long revision, Collection<Item> items) implements Answer {}

    /** Nothing of it was or will be done here. */
    record Refused(Reason reason, String text) implements Answer {}

    record Unknown(String text) implements Answer {}

    /** Changes seen by a watch, in order and without a gap; then watch on from {@code next}. */
    record Seen(List<Event> events, long next) implements Answer {}

    enum Reason {
        NOT_LEADER,
        BUSY,
        CONDITION,
        NO_SESSION,
        FORGOTTEN,
        TOO_LARGE,
        FULL,
        GAP,
        MEMBERS,
        UNREADABLE
    }
}
