package embershift.fleet.store;

import java.util.Collection;
import java.util.List;

/** The result of a call to the replicated store: done, rejected or unknown. */
public sealed interface CallResult {

    /**
     * The call took effect, and that will last.
     *
     * @param number as of {@link CommandResult.Done}
     */
    record Done(long number) implements CallResult {}

    /**
     * The answer to a read.
     *
     * @param revision of the store when it was read
     */
    record Found(long revision, Collection<KeyValue> keyValues) implements CallResult {}

    /** The call had, and will have, no effect. */
    record Rejected(Reason reason, String message) implements CallResult {}

    /** The call may have had an effect, or may have one later. */
    record Unknown(String message) implements CallResult {}

    /**
     * The answer to a watch: all changes in their order, without a gap.
     *
     * @param nextRevision the revision to watch from next
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
        /** Another member leads, or none is known to. */
        NOT_LEADER("not-leader"),
        /** Too much is in progress; a later try may succeed. */
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
        /** A watch asks for changes that are not kept any more. */
        COMPACTED("gap"),
        /** The change of the membership is not possible. */
        MEMBERSHIP("members"),
        /** The call can't be read. */
        MALFORMED("unreadable");

        private final String wireName;

        Reason(String wireName) {
            this.wireName = wireName;
        }

        /** Returns the name that callers are told. */
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
