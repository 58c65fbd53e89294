package embershift.door;

import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.fleet.endpoints.EndpointUpdate;
import embershift.fleet.lease.TaskId;
import embershift.fleet.rollout.AppliedRevision;
import embershift.model.HostId;
import java.util.LinkedHashSet;
import java.util.Set;

/** What an order wants done. */
sealed interface OrderAction {

    /** The task whose orders publish the list of endpoints. */
    TaskId ENDPOINTS_TASK = new TaskId("lists");

    /** The task whose orders bring nodes to a configuration revision. */
    TaskId ROLLOUT_TASK = new TaskId("rollout");

    /** The task whose orders restart hosts and nodes in steps. */
    TaskId RESTART_TASK = new TaskId("release");

    /** Take a change of the list of endpoints. */
    record UpdateEndpoints(EndpointUpdate update) implements OrderAction {}

    /** Go by a configuration revision. */
    record ApplyRevision(AppliedRevision.Order revision) implements OrderAction {}

    /** Use these hosts no more while they are restarted, and all others again. */
    record EjectHosts(Set<HostId> hosts) implements OrderAction {}

    /** Something that this version doesn't know: nothing of it may be done. */
    record Unsupported(String what) implements OrderAction {}

    /** Reads what an order that was admitted wants done. */
    static OrderAction decode(InstanceMessage.Order order) {
        ObjectNode body = order.body();
        String what = body.path("what").asText();
        if (what.equals("hosts") && order.task().equals(ENDPOINTS_TASK)) {
            return new UpdateEndpoints(decodeEndpointUpdate(body));
        } else if (what.equals("revision") && order.task().equals(ROLLOUT_TASK)) {
            return new ApplyRevision(decodeRevision(body));
        } else if (what.equals("out") && order.task().equals(RESTART_TASK)) {
            Set<HostId> hosts = new LinkedHashSet<>();
            JsonMessages.readList(body.path("hosts")).forEach(host -> hosts.add(new HostId(host)));
            return new EjectHosts(hosts);
        }
        return new Unsupported(what);
    }

    private static EndpointUpdate decodeEndpointUpdate(ObjectNode body) {
        return new EndpointUpdate(
                body.path("number").asLong(),
                body.path("base").asLong(),
                body.path("generation").asLong(),
                JsonMessages.readTexts(body.path("changed")),
                JsonMessages.readList(body.path("gone")));
    }

    private static AppliedRevision.Order decodeRevision(ObjectNode body) {
        return new AppliedRevision.Order(
                body.path("number").asLong(),
                body.path("base").asLong(),
                body.path("chain").asText(),
                body.path("content").asText(),
                JsonMessages.readChanges(body.path("fields")));
    }
}
