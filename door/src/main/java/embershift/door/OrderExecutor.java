package embershift.door;

import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.fleet.audit.AuditEntry;
import embershift.fleet.endpoints.AppliedEndpoints;
import embershift.fleet.lease.OrderAdmission;
import embershift.fleet.rollout.AppliedRevision;
import embershift.routing.Tally;
import embershift.transport.EventLoop;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Admits or rejects orders by fencing token and age, executes those that are admitted, and answers
 * each with a verdict.
 */
final class OrderExecutor {

    private final EventLoop loop;
    private final Tally tally;
    private final OrderAdmission admission;
    private final FencingTokenReads tokenReads;
    private final EndpointFeed endpoints;
    private final RevisionApplier revisions;
    private final RestartEjections restartEjections;
    private final AuditUploader auditLog;
    private final Runnable reportNow;

    OrderExecutor(
            EventLoop loop,
            Tally tally,
            OrderAdmission admission,
            FencingTokenReads tokenReads,
            EndpointFeed endpoints,
            RevisionApplier revisions,
            RestartEjections restartEjections,
            AuditUploader auditLog,
            Runnable reportNow) {
        this.loop = loop;
        this.tally = tally;
        this.admission = admission;
        this.tokenReads = tokenReads;
        this.endpoints = endpoints;
        this.revisions = revisions;
        this.restartEjections = restartEjections;
        this.auditLog = auditLog;
        this.reportNow = reportNow;
    }

    /** Executes an order; {@code answer} receives the verdict once the order is in effect. */
    void execute(InstanceMessage.Order order, Consumer<ObjectNode> answer) {
        OrderAdmission.Decision decision =
                admission.decide(loop.now(), order.task(), order.token(), order.reportClock());
        ObjectNode verdict = NodeMessages.verdict(order, decision);
        tally.count("orders " + decision.verdict().wireName().toLowerCase(Locale.ROOT));
        switch (decision.verdict()) {
            case ADMITTED -> executeAdmitted(order, verdict, () -> answer.accept(verdict));
            case TOKEN_UNKNOWN -> {
                tokenReads.request(order.task());
                answer.accept(verdict);
            }
            default -> {
                recordRejection(order, decision);
                answer.accept(verdict);
            }
        }
    }

    private void recordRejection(InstanceMessage.Order order, OrderAdmission.Decision decision) {
        Map<String, String> fields =
                Map.of(
                        "duty", order.task().name(),
                        "fence", String.valueOf(order.token().number()),
                        "verdict", decision.verdict().wireName(),
                        "id", String.valueOf(order.id()));
        auditLog.append(AuditEntry.Kind.ORDER, fields, decision.reason());
    }

    private void executeAdmitted(InstanceMessage.Order order, ObjectNode verdict, Runnable answer) {
        OrderAction action = OrderAction.decode(order);
        if (action instanceof OrderAction.UpdateEndpoints updateEndpoints) {
            verdict.put("end", updateEndpoints(order, updateEndpoints).wireName());
            answer.run();
        } else if (action instanceof OrderAction.ApplyRevision applyRevision) {
            applyRevision(order, applyRevision.revision(), verdict, answer);
        } else if (action instanceof OrderAction.EjectHosts ejectHosts) {
            restartEjections.replace(loop.now(), order.token(), ejectHosts.hosts());
            // After the round of the policy that takes it.
            loop.execute(() -> answerAndReport(answer));
        } else if (action instanceof OrderAction.Unsupported unsupported) {
            verdict.put("verdict", "REFUSED")
                    .put(
                            "why",
                            "no such order: "
                                    + order.task().name()
                                    + " "
                                    + unsupported.actionName());
            answer.run();
        }
    }

    private AppliedEndpoints.Outcome updateEndpoints(
            InstanceMessage.Order order, OrderAction.UpdateEndpoints action) {
        // The sender had that report already when it took the age.
        double confirmedAt = order.reportClock() - action.confirmationAge();
        return endpoints.apply(order.token(), action.update(), action.discovery(), confirmedAt);
    }

    private void applyRevision(
            InstanceMessage.Order order,
            AppliedRevision.Order revision,
            ObjectNode verdict,
            Runnable answer) {
        AppliedRevision.Result result = revisions.apply(order.token(), revision);
        verdict.put("end", result.outcome().wireName()).put("why", result.reason());
        if (result.outcome() != AppliedRevision.Outcome.APPLIED) {
            answerAndReport(answer);
            return;
        }
        // After the round of the policy that takes it.
        loop.execute(
                () -> {
                    if (revisions.confirmEffect(order.token(), revision.number())) {
                        answerAndReport(answer);
                    } else {
                        answer.run();
                    }
                });
    }

    private void answerAndReport(Runnable answer) {
        answer.run();
        reportNow.run();
    }
}
