package embershift.hosted;

import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.door.JsonMessages;
import embershift.door.TomlSettings;
import embershift.fleet.endpoints.EndpointUpdate;
import embershift.fleet.endpoints.PublishedEndpoints;
import embershift.fleet.lease.TaskPlan;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;

/**
 * Watches discovery on behalf of all nodes and sends them numbered updates of its roster, as
 * differences where possible.
 */
final class RosterTask extends LeasedTask implements NodeConnections.Listener {

    /**
     * Least seconds between two orders to a node that has the latest roster; they report when
     * discovery last confirmed it, which keeps the node from polling discovery itself.
     */
    private static final double CONFIRMATION_SECONDS = 0.9;

    /**
     * Seconds that a call may wait at discovery: a confirmation is at least as old as the call that
     * brought it.
     */
    private static final double MAX_DISCOVERY_WAIT_SECONDS = 0.5;

    private static final double RETRY_SECONDS = 0.2;

    /** Seconds until the next order to a node that is configured with another discovery. */
    private static final double OTHER_DISCOVERY_RETRY_SECONDS = 10;

    /**
     * The most changes of the roster sent in one tick: a hundred nodes that reconnect at the same
     * time get the roster spread over about a second.
     */
    private static final int MAX_ORDERS_PER_TICK = 16;

    /**
     * Seconds without an answer after which discovery counts as unreachable, so that this instance
     * makes no progress on the task.
     */
    private static final double DISCOVERY_TIMEOUT_SECONDS = 8;

    /** What a node is known to have, by its verdicts. */
    private static final class NodeProgress {
        private final long incarnation;
        private long acknowledgedNumber;
        private boolean isOrderPending;
        private double nextOrderAt = Double.NEGATIVE_INFINITY;

        NodeProgress(long incarnation) {
            this.incarnation = incarnation;
        }
    }

    /** The address of discovery in the nodes' configurations. */
    private final String source;

    private PublishedEndpoints endpoints = new PublishedEndpoints();
    private DiscoveryWatch discovery;
    private final Map<String, NodeProgress> nodes = new HashMap<>();

    RosterTask(LeasedTasks tasks) {
        super(tasks, "lists");
        source = formatResolved(TomlSettings.parseAddress(tasks.settings().discoveryAtNodes()));
        createLeaseHolder(new TaskPlan("lists", 0, 0), tasks.settings().continuousLeaseSettings());
    }

    /** Nodes know addresses as numbers only. */
    private static String formatResolved(InetSocketAddress address) {
        return address.isUnresolved()
                ? ""
                : address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    @Override
    void leaseAcquired() {
        endpoints = new PublishedEndpoints();
        nodes.clear();
        PublishedEndpoints current = endpoints;
        discovery =
                new DiscoveryWatch(
                        tasks.loop(),
                        TomlSettings.parseAddress(tasks.settings().discovery()),
                        MAX_DISCOVERY_WAIT_SECONDS,
                        (generation, entries, isRestarted) -> {
                            tasks.count("discovery answers");
                            if (isRestarted) {
                                current.discoveryRestarted();
                            }
                            if (current.update(generation, entries)) {
                                tasks.count("lists made");
                                nodes.values()
                                        .forEach(
                                                progress ->
                                                        progress.nextOrderAt =
                                                                Double.NEGATIVE_INFINITY);
                            }
                        });
    }

    @Override
    void leaseLost() {
        tasks.count("discovery calls", discovery.callCount());
        discovery.close();
        discovery = null;
    }

    @Override
    void doWork() {
        double now = now();
        if (now - discovery.confirmedAt() < DISCOVERY_TIMEOUT_SECONDS
                && (tasks.nodes().connected().size() > 0
                        || tasks.store().findByPrefix(NodeConnections.NODE_PREFIX).isEmpty())) {
            leaseHolder().progressMade(now);
        }
        if (endpoints.number() == 0) {
            return;
        }
        int sent = 0;
        for (NodeConnections.NodeConnection node : tasks.nodes().connected()) {
            NodeProgress progress = progressOf(node);
            if (progress.acknowledgedNumber != endpoints.number()
                    && mayReceiveOrder(node, progress)
                    && sent++ < MAX_ORDERS_PER_TICK) {
                sendUpdate(node, progress);
            }
        }
    }

    /**
     * A report is answered with a confirmation where one is due: the node reckons the age of that
     * from the report, so that a recent one makes it count for longer.
     */
    @Override
    public void nodeReported(NodeConnections.NodeConnection node) {
        if (!holdsLease() || discovery == null || endpoints.number() == 0) {
            return;
        }
        NodeProgress progress = progressOf(node);
        if (progress.acknowledgedNumber == endpoints.number() && mayReceiveOrder(node, progress)) {
            sendUpdate(node, progress);
        }
    }

    private NodeProgress progressOf(NodeConnections.NodeConnection node) {
        return nodes.compute(
                node.name,
                (name, known) ->
                        known != null && known.incarnation == node.incarnation
                                ? known
                                : new NodeProgress(node.incarnation));
    }

    private boolean mayReceiveOrder(NodeConnections.NodeConnection node, NodeProgress progress) {
        return !progress.isOrderPending
                && now() >= progress.nextOrderAt
                && node.report().has("clock");
    }

    private void sendUpdate(NodeConnections.NodeConnection node, NodeProgress progress) {
        EndpointUpdate update = endpoints.updateSince(progress.acknowledgedNumber);
        ObjectNode order =
                JsonMessages.newObject()
                        .put("number", update.number())
                        .put("base", update.baseNumber())
                        .put("generation", update.generation())
                        .put("source", source)
                        .put("age", now() - discovery.confirmedAt());
        JsonMessages.putTexts(order.putObject("changed"), update.changed());
        JsonMessages.addTexts(order.putArray("gone"), update.removed());
        progress.isOrderPending = true;
        tasks.count(update.baseNumber() == 0 ? "lists told whole" : "lists told by difference");
        sendOrder(
                node, "hosts", order, verdict -> handleVerdict(progress, update.number(), verdict));
    }

    /** The verdict is null if none came; the node may have connected again meanwhile. */
    private void handleVerdict(NodeProgress progress, long sentNumber, ObjectNode verdict) {
        progress.isOrderPending = false;
        String result = verdict == null ? "" : verdict.path("end").asText();
        if (result.equals("TAKEN") || result.equals("SAME")) {
            progress.acknowledgedNumber = sentNumber;
            progress.nextOrderAt =
                    sentNumber == endpoints.number()
                            ? now() + CONFIRMATION_SECONDS
                            : Double.NEGATIVE_INFINITY;
            return;
        }
        if (result.equals("WHOLE")) {
            progress.acknowledgedNumber = 0;
        }
        progress.nextOrderAt =
                now()
                        + (result.equals("ELSEWHERE")
                                ? OTHER_DISCOVERY_RETRY_SECONDS
                                : RETRY_SECONDS);
    }

    @Override
    public void nodeDisconnected(NodeConnections.NodeConnection node) {
        nodes.remove(node.name);
    }
}
