package embershift.fleet.lease;

import java.util.Optional;

/**
 * Decides whether a node takes an order, before it looks at what is ordered: by the order's fencing
 * token and by its age. The age is told by this node's clock alone: each order returns what that
 * clock showed in the latest report that had reached the sender. So an order that was delayed on
 * its way, in a queue or in a stopped process is known for what it is. Times in seconds.
 */
public final class OrderAdmission {

    /** What is decided. The wire names are part of the protocol. */
    public enum Verdict {
        /** The order is taken. */
        ADMITTED("TAKEN"),
        /** A later grant of the task's lease is known here. */
        STALE_TOKEN("OLD"),
        /** The task's latest token has not been read yet. */
        TOKEN_UNKNOWN("UNSURE"),
        /** The order is too old. */
        EXPIRED("VOID"),
        /** This node is shut out, and takes no orders. */
        SHUT_OUT("OUT");

        private final String wireName;

        Verdict(String wireName) {
            this.wireName = wireName;
        }

        /** Returns the name that the sender is told. */
        public String wireName() {
            return wireName;
        }
    }

    /**
     * A decision.
     *
     * @param knownToken the highest token known of the task; empty before one was learned
     * @param reason for people; empty if the order is taken
     */
    public record Decision(Verdict verdict, Optional<FencingToken> knownToken, String reason) {}

    private final FencingGuard guard;
    private final double maxAgeSeconds;
    private Optional<String> shutOutReason = Optional.empty();

    /** Creates an admission whose orders expire after {@code maxAgeSeconds}. */
    public OrderAdmission(FencingGuard guard, double maxAgeSeconds) {
        this.guard = guard;
        this.maxAgeSeconds = maxAgeSeconds;
    }

    /** From now on no order is taken. */
    public void shutOut(String reason) {
        shutOutReason = Optional.of(reason);
    }

    /** Returns why no order is taken any more; empty while orders are. */
    public Optional<String> shutOutReason() {
        return shutOutReason;
    }

    /**
     * Decides on an order.
     *
     * @param reportClock this node's clock in the latest report that the sender had
     */
    public Decision decide(double now, TaskId task, FencingToken token, double reportClock) {
        if (shutOutReason.isPresent()) {
            return decision(Verdict.SHUT_OUT, task, shutOutReason.get());
        }
        double age = now - reportClock;
        // A time ahead of this clock is none that it ever showed.
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
