package embershift.fleet.lease;

import java.util.Optional;

/**
 * Decides whether a node accepts an order, before the content of the order is examined: by its
 * fencing token and its age. The age is measured by this node's clock alone: each order carries
 * what that clock showed in the latest report that had reached the sender. This detects orders that
 * were delayed on the network, in a queue or in a suspended process. Times in seconds.
 */
public final class OrderAdmission {

    /** Result of the check. The wire names are part of the protocol. */
    public enum Verdict {
        /** The order is accepted. */
        ADMITTED("TAKEN"),
        /** A later grant of the task's lease is known to this node. */
        STALE_TOKEN("OLD"),
        /** The task's latest token has not been read yet. */
        TOKEN_UNKNOWN("UNSURE"),
        /** The order is too old. */
        EXPIRED("VOID"),
        /** This node is shut out and accepts no orders. */
        SHUT_OUT("OUT");

        private final String wireName;

        Verdict(String wireName) {
            this.wireName = wireName;
        }

        /** Returns the name in the protocol. */
        public String wireName() {
            return wireName;
        }
    }

    /**
     * A decision.
     *
     * @param knownToken the highest known token of the task, or empty if none is known
     * @param reason for operators; empty if the order is accepted
     */
    public record Decision(Verdict verdict, Optional<FencingToken> knownToken, String reason) {}

    private final FencingGuard guard;
    private final double maxAgeSeconds;
    private Optional<String> shutOutReason = Optional.empty();

    /** Creates an admission check under which orders expire after {@code maxAgeSeconds}. */
    public OrderAdmission(FencingGuard guard, double maxAgeSeconds) {
        this.guard = guard;
        this.maxAgeSeconds = maxAgeSeconds;
    }

    /** Rejects all orders from now on. */
    public void shutOut(String reason) {
        shutOutReason = Optional.of(reason);
    }

    /** Returns why all orders are rejected, or empty while orders can be accepted. */
    public Optional<String> shutOutReason() {
        return shutOutReason;
    }

    /**
     * Decides on an order.
     *
     * @param reportClock what this node's clock showed in its latest report that had reached the
     *     sender
     */
    public Decision decide(double now, TaskId task, FencingToken token, double reportClock) {
        if (shutOutReason.isPresent()) {
            return decision(Verdict.SHUT_OUT, task, shutOutReason.get());
        }
        double age = now - reportClock;
        // A time ahead of this clock was never shown by it.
        if (!(age >= 0 && age <= maxAgeSeconds)) {
            return decision(
                    Verdict.EXPIRED, task, "given on a word of " + (long) (1000 * age) + " ms ago");
        }
        return switch (guard.admit(task, token)) {
            case ADMITTED -> decision(Verdict.ADMITTED, task, "");
            case STALE ->
                    decision(
                            Verdict.STALE_TOKEN,
                            task,
                            "fence "
                                    + guard.highestKnown(task).orElseThrow().number()
                                    + " is known here");
            case UNKNOWN -> decision(Verdict.TOKEN_UNKNOWN, task, "the record has not been heard");
        };
    }

    private Decision decision(Verdict verdict, TaskId task, String reason) {
        return new Decision(verdict, guard.highestKnown(task), reason);
    }
}
