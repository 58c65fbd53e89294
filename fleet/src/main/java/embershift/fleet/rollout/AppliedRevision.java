package embershift.fleet.rollout;

import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/** The config revision that a node acts on: as a whole or not at all, and never an earlier one. */
public final class AppliedRevision {

    /** What became of an order. The wire names are part of the protocol. */
    public enum Outcome {
        /** The revision is acted on from now on. */
        APPLIED("TAKEN"),
        /** It was acted on before. */
        UNCHANGED("SAME"),
        /** A later one is acted on. */
        STALE("OLDER"),
        /** The order changes a revision that is not held here, or does not make what it says. */
        FULL_REVISION_NEEDED("WHOLE"),
        /** The revision can't be acted on here. */
        REJECTED("REFUSED");

        private final String wireName;

        Outcome(String wireName) {
            this.wireName = wireName;
        }

        /** Returns the name that the sender is told. */
        public String wireName() {
            return wireName;
        }
    }

    /** An outcome; {@code reason} is for people. */
    public record Result(Outcome outcome, String reason) {}

    /**
     * A revision to apply.
     *
     * @param baseNumber of the revision that {@code changes} are to, or 0 if they are the whole
     * @param chainDigest that the store has of it
     * @param contentDigest that the store has of it: without it nothing is believed
     * @param changes fields that are set, or removed where the value is empty
     */
    public record Order(
            long number,
            long baseNumber,
            String chainDigest,
            String contentDigest,
            Map<String, Optional<String>> changes) {}

    /** Has all fields acted on at once, or none. */
    public interface Applier {

        /** Returns why they can't be acted on, or empty. */
        Optional<String> apply(SortedMap<String, String> fields);
    }

    private ConfigRevision applied = ConfigRevision.NONE;

    /** The chain digest that was told: what it rests on is not known here. */
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
            // Sent as a whole it is applied anew: that heals a node that does not act on what it
            // holds.
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
                    "what was told does not make the revision that was meant");
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

    /** Returns the number of the revision that is acted on, or 0. */
    public long number() {
        return applied.number();
    }

    /** Returns the chain digest of the revision that is acted on, or "". */
    public String chainDigest() {
        return chainDigest;
    }

    /** Returns the fields of the revision that is acted on. */
    public SortedMap<String, String> fields() {
        return applied.fields();
    }

    /** Returns the number of the revision that was rejected last, or 0. */
    public long rejectedNumber() {
        return rejectedNumber;
    }

    /** Returns why that one was rejected. */
    public String rejectionReason() {
        return rejectionReason;
    }
}
