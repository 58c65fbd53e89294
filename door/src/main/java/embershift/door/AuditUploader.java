package embershift.door;

import embershift.fleet.audit.AuditEntry;
import embershift.fleet.audit.AuditLog;
import embershift.fleet.audit.AuditSegment;
import embershift.fleet.audit.HybridLogicalClock;
import embershift.fleet.lease.OrderAdmission;
import embershift.transport.EventLoop;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The node's audit log and its way into the store: one segment at a time, to one instance, again to
 * the next one while nobody acknowledges it. Nothing is sent by a node that is shut out.
 */
final class AuditUploader {

    private static final double RETRY_SECONDS = 2;

    private final EventLoop loop;
    private final AuditLog log;
    private final Registration registration;
    private final OrderAdmission admission;
    private final List<InstanceConnection> connections;
    private double sentAt = Double.NEGATIVE_INFINITY;
    private int receiverIndex;

    AuditUploader(
            EventLoop loop,
            AuditLog log,
            Registration registration,
            OrderAdmission admission,
            List<InstanceConnection> connections) {
        this.loop = loop;
        this.log = log;
        this.registration = registration;
        this.admission = admission;
        this.connections = connections;
    }

    /** Appends an entry; its segment goes out with one of the next ticks. */
    void append(AuditEntry.Kind kind, Map<String, String> fields, String text) {
        log.append(System.currentTimeMillis(), kind, fields, text);
    }

    void observe(HybridLogicalClock other) {
        log.observe(other, System.currentTimeMillis());
    }

    HybridLogicalClock clock() {
        return log.clock();
    }

    /** Sends the oldest segment to the next instance, if none was sent lately. */
    void tick(double now) {
        if (now - sentAt >= RETRY_SECONDS) {
            retry();
        }
    }

    /** Sends the oldest segment to another instance than last time, which did not store it. */
    void retry() {
        sendToFirstAccepted(receiverIndex + 1);
    }

    /** A segment is stored; the next one goes the same way. */
    void segmentStored(long segmentNumber) {
        log.acknowledged(segmentNumber);
        sendToFirstAccepted(receiverIndex);
    }

    private void sendToFirstAccepted(int first) {
        if (!registration.isRegistered() || admission.shutOutReason().isPresent()) {
            return;
        }
        Optional<AuditSegment> segment =
                log.nextSegment(registration.nodeName(), registration.incarnation());
        if (segment.isEmpty()) {
            return;
        }
        sentAt = loop.now();
        for (int i = 0; i < connections.size(); i++) {
            int candidate = (first + i) % connections.size();
            if (connections.get(candidate).isAccepted()) {
                receiverIndex = candidate;
                connections.get(candidate).send(NodeMessages.auditSegment(segment.get()));
                return;
            }
        }
    }
}
