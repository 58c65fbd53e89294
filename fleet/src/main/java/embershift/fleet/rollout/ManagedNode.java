package embershift.fleet.rollout;

import java.util.Optional;

/** What a rollout knows of one node, and what it has ordered it. */
final class ManagedNode {

    private static final long NOT_ORDERED = 0;

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
    private long canaryIncarnation = NOT_ORDERED;

    private boolean isCanaryStarted;
    private double canarySince;
    private long openedBefore;
    private long failedBefore;

    Optional<NodeReport> report() {
        return Optional.ofNullable(report);
    }

    boolean isSilent(double now, double silentSeconds) {
        return report == null || !isConnected || now - reportedAt > silentSeconds;
    }

    void reported(double time, NodeReport newReport) {
        if (report != null && newReport.incarnation() < report.incarnation()) {
            return;
        }
        boolean isOtherIncarnation =
                report == null || report.incarnation() != newReport.incarnation();
        if (isOtherIncarnation || report.revision() != newReport.revision()) {
            attempts = 0;
            nextOrderAt = Double.NEGATIVE_INFINITY;
        }
        if (isOtherIncarnation) {
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

    void orderAnswered() {
        isInFlight = false;
    }

    /** The next order has to be a whole revision, at once. */
    void requireFullRevision(double time) {
        attempts = Math.max(attempts, 1);
        nextOrderAt = time;
    }

    /** What it acts on is told by its own report. */
    void awaitReport(double until) {
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
        nextOrderAt = now + Math.min(settings.patienceSeconds(), pause);
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
        canaryIncarnation = NOT_ORDERED;
        isCanaryStarted = false;
    }

    void canaryOrdered() {
        canaryIncarnation = report.incarnation();
    }

    /** Whether it was restarted since the canary revision was ordered. */
    boolean wasRestartedAsCanary() {
        return report != null
                && canaryIncarnation != NOT_ORDERED
                && report.incarnation() != canaryIncarnation;
    }

    /** It acts on the canary revision: what it serves counts from now on. */
    void startCanary(double now) {
        if (!isCanaryStarted) {
            isCanaryStarted = true;
            canarySince = now;
            openedBefore = report.opened();
            failedBefore = report.failed();
        }
    }

    double canarySince() {
        return canarySince;
    }

    long openedAsCanary() {
        return report.opened() - openedBefore;
    }

    long failedAsCanary() {
        return report.failed() - failedBefore;
    }
}
