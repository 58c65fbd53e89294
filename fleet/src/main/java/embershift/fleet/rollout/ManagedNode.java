package embershift.fleet.rollout;

import java.util.Optional;

/** What a rollout knows of one node, and what it has ordered it. */
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

    /** The incarnation that the canary revision was ordered first, or 0. */
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

    /** The next order has to be a whole revision, at once. */
    void requireFullRevision(double time) {
        attempts = Math.max(attempts, 1);
        nextOrderAt = time;
    }

    /** What it acts on is told by its own report. */
    void delayNextOrderUntil(double until) {
        nextOrderAt = Math.max(nextOrderAt, until);
    }

    boolean isInFlight(double now) {
        return isInFlight && now < inFlightUntil;
    }

    boolean mayBeOrdered(double now) {
        return now >= nextOrderAt && !isInFlight(now);
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

    /** A new revision is to be tried on canaries. */
    void resetCanary() {
        canaryIncarnation = NO_INCARNATION;
        isCanaryStarted = false;
    }

    void canaryOrdered() {
        canaryIncarnation = report.incarnation();
    }

    /** Whether it was restarted since the canary revision was ordered. */
    boolean wasRestartedSinceCanaryOrder() {
        return report != null
                && canaryIncarnation != NO_INCARNATION
                && report.incarnation() != canaryIncarnation;
    }

    /** It acts on the canary revision: what it serves counts from now on. */
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
