package embershift.door;

import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.fleet.endpoints.EndpointUpdate;
import embershift.fleet.lease.TaskId;
import embershift.fleet.rollout.AppliedRevision;
import embershift.model.HostId;
import embershift.protocol.Addresses;
import embershift.protocol.MalformedDataException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;

/** The action that an order requests. */
sealed interface OrderAction {

    /** The task whose orders publish the list of endpoints. */
    TaskId ENDPOINTS_TASK = new TaskId("lists");

    /** The task whose orders roll out configuration revisions. */
    TaskId ROLLOUT_TASK = new TaskId("rollout");

    /** The task whose orders restart hosts and nodes in steps. */
    TaskId RESTART_TASK = new TaskId("release");

    /**
     * Apply a change of the list of endpoints.
     *
     * @param discovery the discovery that lists this, or null if the sender does not say
     * @param confirmationAge seconds between the time at which discovery certainly listed this and
     *     the order; infinite if the sender does not say
     */
    record UpdateEndpoints(
            EndpointUpdate update, InetSocketAddress discovery, double confirmationAge)
            implements OrderAction {}

    /** Apply a configuration revision. */
    record ApplyRevision(AppliedRevision.Order revision) implements OrderAction {}

    /** Eject exactly these hosts while they are restarted, and return all others to service. */
    record EjectHosts(Set<HostId> hosts) implements OrderAction {}

    /** An action that this version does not know: nothing of it may be done. */
    record Unsupported(String actionName) implements OrderAction {}

    /** Decodes the action of an admitted order. */
    static OrderAction decode(InstanceMessage.Order order) {
        ObjectNode body = order.body();
        String actionName = body.path("what").asText();
        if (actionName.equals("hosts") && order.task().equals(ENDPOINTS_TASK)) {
            return new UpdateEndpoints(
                    decodeEndpointUpdate(body),
                    decodeAddress(body.path("source").asText()),
                    body.path("age").asDouble(Double.POSITIVE_INFINITY));
        } else if (actionName.equals("revision") && order.task().equals(ROLLOUT_TASK)) {
            return new ApplyRevision(decodeRevision(body));
        } else if (actionName.equals("out") && order.task().equals(RESTART_TASK)) {
            Set<HostId> hosts = new LinkedHashSet<>();
            JsonMessages.readList(body.path("hosts")).forEach(host -> hosts.add(new HostId(host)));
            return new EjectHosts(hosts);
        }
        return new Unsupported(actionName);
    }

    private static EndpointUpdate decodeEndpointUpdate(ObjectNode body) {
        return new EndpointUpdate(
                body.path("number").asLong(),
                body.path("base").asLong(),
                body.path("generation").asLong(),
                JsonMessages.readTexts(body.path("changed")),
                JsonMessages.readList(body.path("gone")));
    }

    private static InetSocketAddress decodeAddress(String text) {
        try {
            return Addresses.parse(text);
        } catch (MalformedDataException e) {
            return null;
        }
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
