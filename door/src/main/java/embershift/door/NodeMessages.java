package embershift.door;

import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.fleet.audit.AuditSegment;
import embershift.fleet.lease.FencingToken;
import embershift.fleet.lease.OrderAdmission;
import embershift.fleet.lease.TaskId;

/** Encodes the messages of a node to a control-plane instance; the names are those of the wire. */
final class NodeMessages {

    private static final int VERSION = 1;

    private NodeMessages() {}

    /** The first message on a connection. */
    static ObjectNode handshake(Registration registration, double now) {
        return JsonMessages.newMessage("here")
                .put("version", VERSION)
                .put("name", registration.nodeName())
                .put("boot", registration.bootId())
                .put("incarnation", registration.incarnation())
                .put("clock", now);
    }

    /** A linearizable read of a task's latest fencing token, as any client of the store does it. */
    static ObjectNode readFencingToken(TaskId task, long callId) {
        return JsonMessages.newObject()
                .put("call", "get")
                .put("key", task.tokenKey())
                .put("id", callId)
                .put("version", VERSION);
    }

    /** A piece of the audit log. */
    static ObjectNode auditSegment(AuditSegment segment) {
        return JsonMessages.newMessage("trail")
                .put("number", segment.number())
                .put("text", segment.encode());
    }

    /** What became of an order. */
    static ObjectNode verdict(InstanceMessage.Order order, OrderAdmission.Decision decision) {
        return JsonMessages.newMessage("verdict")
                .put("id", order.id())
                .put("duty", order.task().name())
                .put("verdict", decision.verdict().wireName())
                .put("why", decision.reason())
                .put("known", decision.knownToken().map(FencingToken::number).orElse(0L));
    }
}
