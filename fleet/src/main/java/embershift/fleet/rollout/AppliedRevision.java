package embershift.fleet.rollout;

import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The configuration revision that a node has applied. A revision is applied completely or not at
 * all, and never replaced by an earlier one.
 */
public final class AppliedRevision {

    /** Outcome of an order. The wire names are part of the protocol. */
    public enum Outcome {
        /** The revision is applied now. */
        APPLIED("TAKEN"),
        /** The revision was applied before. */
        UNCHANGED("SAME"),
        /** A later revision is applied. */
        STALE("OLDER"),
        /**
         * The order's changes are based on a revision that is not applied here, or do not result in
         * the revision that the order describes.
         */
        FULL_REVISION_NEEDED("WHOLE"),
        /** The revision cannot be applied here. */
        REJECTED("REFUSED");

        private final String wireName;

        Outcome(String wireName) {
            this.wireName = wireName;
        }

        /** Returns the name in the protocol. */
        public String wireName() {
            return wireName;
        }
    }

    /** An outcome; {@code reason} is for operators. */
    public record Result(Outcome outcome, String reason) {}

    /**
     * A revision to apply.
     *
     * @param baseNumber number of the revision that {@code changes} apply to, or 0 if they are the
     *     complete revision
     * @param chainDigest the revision's chain digest in the store
     * @param contentDigest the revision's content digest in the store; a revision whose fields do
     *     not match it is not applied
     * @param changes fields that are set, or removed where the value is empty
     */
    public record Order(
            long number,
            long baseNumber,
            String chainDigest,
            String contentDigest,
            Map<String, Optional<String>> changes) {}

    /** Applies all fields at once, or none. */
    public interface Applier {

        /** Returns why the fields cannot be applied, or empty. */
        Optional<String> apply(SortedMap<String, String> fields);
    }

    private ConfigRevision applied = ConfigRevision.NONE;

    /** The chain digest from the order; the earlier revisions that it covers are not known here. */
    private String chainDigest = "";

    private long rejectedNumber;
    private String rejectionReason = "";

    /** Applies a revision. */
    public Result apply(Order order, Applier applier) {
        if (order.number < applied.number()) {
            return new Result(Outcome.STALE, "revision " + applied.number() + " holds here");
        }
        boolean isHeld = order.number == applied.number() && order.chainDigest.equals(chainDigest);
        if (isHeld && order.baseNumber != 0) {
            // A complete revision is applied again even if it is held already: that repairs a
            // node whose effective configuration differs from it.
            return new Result(Outcome.UNCHANGED, "");
        }
        if (order.baseNumber != 0 && order.baseNumber != applied.number()) {
            return new Result(
                    Outcome.FULL_REVISION_NEEDED,
                    "revision " + applied.number() + " holds here, not " + order.baseNumber);
        }
        SortedMap<String, String> base = order.baseNumber == 0 ? new TreeMap<>() : applied.fields();
        SortedMap<String, String> fields = ConfigRevision.withChanges(base, order.changes);
        if (!ConfigRevision.contentDigest(fields).equals(order.contentDigest)) {
            return new Result(
                    Outcome.FULL_REVISION_NEEDED,
                    "the resulting fields do not match the digest of the revision");
        }
        Optional<String> error = applier.apply(fields);
        if (error.isPresent()) {
            rejectedNumber = order.number;
            rejectionReason = error.get();
            return new Result(Outcome.REJECTED, rejectionReason);
        }
        applied = new ConfigRevision(order.number, "", fields);
        chainDigest = order.chainDigest;
        return new Result(Outcome.APPLIED, "");
    }

    /** Returns the number of the applied revision, or 0. */
    public long number() {
        return applied.number();
    }

    /** Returns the chain digest of the applied revision, or "". */
    public String chainDigest() {
        return chainDigest;
    }

    /** Returns the fields of the applied revision. */
    public SortedMap<String, String> fields() {
        return applied.fields();
    }

    /** Returns the number of the revision that was rejected last, or 0. */
    public long rejectedNumber() {
        return rejectedNumber;
    }

    /** Returns why that revision was rejected. */
    public String rejectionReason() {
        return rejectionReason;
    }
}
