package embershift.fleet.rollout;

import java.util.Optional;

/** State that a rollout keeps for one node: its reports and the orders sent to it. */
final class ManagedNode {

    private static final long NO_INCARNATION = 0;

    private NodeReport report;
    private boolean isConnected;
    private double reportedAt = Double.NEGATIVE_INFINITY;
    private double nextOrderAt = Double.NEGATIVE_INFINITY;
    private int attempts;
    private boolean isRestartRequested;
    private long orderedRevision;
    private boolean isInFlight;
    private double inFlightUntil;

    /** The incarnation that was sent the canary revision, or 0. */
    private long canaryIncarnation = NO_INCARNATION;

    private boolean isCanaryStarted;
    private double canarySince;
    private long openedAtCanaryStart;
    private long failedAtCanaryStart;

    Optional<NodeReport> report() {
        return Optional.ofNullable(report);
    }

    boolean isSilent(double now, double silentSeconds) {
        return report == null || !isConnected || now - reportedAt > silentSeconds;
    }

    void reportReceived(double time, NodeReport newReport) {
        if (report != null && newReport.incarnation() < report.incarnation()) {
            return;
        }
        boolean isNewIncarnation =
                report == null || report.incarnation() != newReport.incarnation();
        if (isNewIncarnation || report.revision() != newReport.revision()) {
            attempts = 0;
            nextOrderAt = Double.NEGATIVE_INFINITY;
        }
        if (isNewIncarnation) {
            isRestartRequested = false;
        }
        report = newReport;
        isConnected = true;
        reportedAt = time;
        if (newReport.revision() >= orderedRevision) {
            isInFlight = false;
        }
    }

    void disconnected() {
        isConnected = false;
        isInFlight = false;
    }

    void orderCompleted() {
        isInFlight = false;
    }

    /** Makes the next order a complete revision that is due at once. */
    void requireFullRevision(double time) {
        attempts = Math.max(attempts, 1);
        nextOrderAt = time;
    }

    /** Delays the next order, as the node's own report tells what it has applied. */
    void delayNextOrderUntil(double until) {
        nextOrderAt = Math.max(nextOrderAt, until);
    }

    boolean isInFlight(double now) {
        return isInFlight && now < inFlightUntil;
    }

    boolean mayBeOrdered(double now) {
        return now >= nextOrderAt && !isInFlight(now);
    }

    /**
     * Called with the revision that the node should apply: that it has rejected another one counts
     * neither as failed attempts nor as a reason to wait.
     */
    void targetChosen(long revision) {
        if (report.rejectedRevision() == orderedRevision && revision != orderedRevision) {
            attempts = 0;
            nextOrderAt = Double.NEGATIVE_INFINITY;
        }
    }

    int attempts() {
        return attempts;
    }

    void ordered(double now, long revision, RolloutSettings settings) {
        orderedRevision = revision;
        isInFlight = true;
        inFlightUntil = now + settings.silentSeconds();
        double pause = settings.retrySeconds() * Math.pow(2, attempts);
        nextOrderAt = now + Math.min(settings.canaryTimeoutSeconds(), pause);
        attempts++;
    }

    boolean isRestartRequested() {
        return isRestartRequested;
    }

    void markRestartRequested() {
        isRestartRequested = true;
    }

    /** Resets the canary state for a new revision. */
    void resetCanary() {
        canaryIncarnation = NO_INCARNATION;
        isCanaryStarted = false;
    }

    void canaryOrdered() {
        canaryIncarnation = report.incarnation();
    }

    /** Whether the node was restarted since the canary revision was ordered. */
    boolean wasRestartedSinceCanaryOrder() {
        return report != null
                && canaryIncarnation != NO_INCARNATION
                && report.incarnation() != canaryIncarnation;
    }

    /** Starts counting the node's sessions under the canary revision. */
    void startCanary(double now) {
        if (!isCanaryStarted) {
            isCanaryStarted = true;
            canarySince = now;
            openedAtCanaryStart = report.opened();
            failedAtCanaryStart = report.failed();
        }
    }

    double canarySince() {
        return canarySince;
    }

    long openedSinceCanaryStart() {
        return report.opened() - openedAtCanaryStart;
    }

    long failedSinceCanaryStart() {
        return report.failed() - failedAtCanaryStart;
    }
}
