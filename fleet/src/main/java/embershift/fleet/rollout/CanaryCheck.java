package embershift.fleet.rollout;

import java.util.Optional;

/**
 * Judges by a canary's reports whether it runs the revision that is being rolled out, and serves
 * with it.
 *
 * @param stageSeconds for how long the canaries have had the revision
 */
record CanaryCheck(RolloutSettings settings, long revision, double now, double stageSeconds) {

    /**
     * Failed tunnels up to which a canary is not judged by its service, as so few are no evidence.
     */
    private static final int MAX_TOLERATED_FAILURES = 2;

    /**
     * Returns why, by this canary, the rollout must not go on; empty if nothing is wrong.
     *
     * @param canary empty if the node is not registered any more
     */
    Optional<String> findFailure(Optional<ManagedNode> canary) {
        Optional<NodeReport> report = canary.flatMap(ManagedNode::report);
        if (report.filter(each -> each.rejectedRevision() == revision).isPresent()) {
            return Optional.of("refused it: " + report.get().rejectionReason());
        }
        if (canary.filter(ManagedNode::wasRestartedSinceCanaryOrder).isPresent()) {
            return Optional.of("was restarted while it applied it");
        }
        boolean isSilent = canary.filter(node -> !isSilent(node)).isEmpty();
        if (isSilent && stageSeconds > settings.silentSeconds()) {
            return Optional.of("is silent");
        }
        if (stageSeconds > settings.canaryTimeoutSeconds() + settings.settleSeconds()) {
            return Optional.of(isSilent ? "is silent" : "did not apply it in time");
        }
        Optional<ManagedNode> running = canary.filter(this::isRunningRevision);
        running.ifPresent(node -> node.startCanary(now));
        return running.flatMap(this::findServiceFailure);
    }

    /** Whether the canary has run the revision for long enough. */
    boolean hasSettled(ManagedNode canary) {
        return isRunningRevision(canary) && now - canary.canarySince() >= settings.settleSeconds();
    }

    private boolean isSilent(ManagedNode node) {
        return node.isSilent(now, settings.silentSeconds());
    }

    private boolean isRunningRevision(ManagedNode node) {
        return !isSilent(node)
                && node.report()
                        .filter(each -> each.revision() == revision && each.ready())
                        .isPresent();
    }

    private Optional<String> findServiceFailure(ManagedNode node) {
        long opened = node.openedSinceCanaryStart();
        long failed = node.failedSinceCanaryStart();
        long all = opened + failed;
        return failed > MAX_TOLERATED_FAILURES && opened < settings.minServiceRate() * all
                ? Optional.of(
                        "closed " + failed + " of " + all + " tunnels with error since applying it")
                : Optional.empty();
    }
}
