package embershift.fleet.store;

import java.util.Collection;
import java.util.List;

/** The result of a call to the replicated store. */
public sealed interface CallResult {

    /**
     * The call took effect durably.
     *
     * @param number as of {@link CommandResult.Done}
     */
    record Done(long number) implements CallResult {}

    /**
     * The result of a read.
     *
     * @param revision of the store when it was read
     */
    record Found(long revision, Collection<KeyValue> keyValues) implements CallResult {}

    /** The call has had no effect, and will have none. */
    record Rejected(Reason reason, String message) implements CallResult {}

    /** The call may have had an effect, or may have one later. */
    record Unknown(String message) implements CallResult {}

    /**
     * The result of a watch: all changes in order, without a gap.
     *
     * @param nextRevision the revision from which to watch next
     */
    record Changed(List<WatchEvent> events, long nextRevision) implements CallResult {}

    /** Returns the result of a call whose command was executed. */
    static CallResult of(CommandResult result) {
        if (result instanceof CommandResult.Rejected rejected) {
            return new Rejected(Reason.of(rejected.reason()), rejected.message());
        }
        return new Done(((CommandResult.Done) result).number());
    }

    /** Why a call was rejected. */
    enum Reason {
        /** Another member is the leader, or the leader is not known. */
        NOT_LEADER("not-leader"),
        /** Too many calls are in progress; a later attempt may succeed. */
        BUSY("busy"),
        /** See {@link CommandResult.Reason#PRECONDITION_FAILED}. */
        PRECONDITION_FAILED("condition"),
        /** See {@link CommandResult.Reason#UNKNOWN_SESSION}. */
        UNKNOWN_SESSION("no-session"),
        /** See {@link CommandResult.Reason#RESULT_FORGOTTEN}. */
        RESULT_FORGOTTEN("forgotten"),
        /** See {@link CommandResult.Reason#TOO_LARGE}. */
        TOO_LARGE("too-large"),
        /** See {@link CommandResult.Reason#STORE_FULL}. */
        STORE_FULL("full"),
        /** A watch asks for changes that are no longer kept. */
        COMPACTED("gap"),
        /** The membership change is not possible. */
        MEMBERSHIP("members"),
        /** The call is malformed. */
        MALFORMED("unreadable");

        private final String wireName;

        Reason(String wireName) {
            this.wireName = wireName;
        }

        /** Returns the name in the protocol. */
        public String wireName() {
            return wireName;
        }

        static Reason of(CommandResult.Reason reason) {
            return switch (reason) {
                case PRECONDITION_FAILED -> PRECONDITION_FAILED;
                case UNKNOWN_SESSION -> UNKNOWN_SESSION;
                case RESULT_FORGOTTEN -> RESULT_FORGOTTEN;
                case TOO_LARGE -> TOO_LARGE;
                case STORE_FULL -> STORE_FULL;
                case MALFORMED -> MALFORMED;
            };
        }
    }
}
