package embershift.hosted;

import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.door.JsonMessages;
import embershift.door.TomlSettings;
import embershift.fleet.endpoints.EndpointUpdate;
import embershift.fleet.endpoints.PublishedEndpoints;
import embershift.fleet.lease.TaskPlan;
import java.util.HashMap;
import java.util.Map;

/**
 * Watches discovery on behalf of all nodes and sends them numbered updates of its roster, as
 * differences where possible.
 */
final class RosterTask extends LeasedTask implements NodeConnections.Listener {

    /**
     * Seconds between two orders to a node that has the latest roster; they keep it from asking
     * discovery itself.
     */
    private static final double KEEPALIVE_SECONDS = 1;

    private static final double RETRY_SECONDS = 0.2;

    /**
     * The most orders sent in one tick: a hundred nodes that reconnect at the same time get the
     * roster spread over about a second.
     */
    private static final int MAX_ORDERS_PER_TICK = 16;

    /**
     * Seconds without an answer after which discovery counts as unreachable, so that this instance
     * makes no progress on the task.
     */
    private static final double DISCOVERY_TIMEOUT_SECONDS = 8;

    /** What a node is known to have, by its verdicts. */
    private static final class NodeProgress {
        private long incarnation;
        private long acknowledgedNumber;
        private boolean isOrderPending;
        private double nextOrderAt = Double.NEGATIVE_INFINITY;
    }

    private PublishedEndpoints endpoints = new PublishedEndpoints();
    private DiscoveryWatch discovery;
    private final Map<String, NodeProgress> nodes = new HashMap<>();

    RosterTask(LeasedTasks tasks) {
        super(tasks, "lists");
        createLeaseHolder(new TaskPlan("lists", 0, 0), tasks.settings().continuousLeaseSettings());
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
        if (now - discovery.lastAnswerAt() < DISCOVERY_TIMEOUT_SECONDS
                && (tasks.nodes().connected().size() > 0
                        || tasks.store().findByPrefix(NodeConnections.NODE_PREFIX).isEmpty())) {
            leaseHolder().progressMade(now);
        }
        if (endpoints.number() == 0) {
            return;
        }
        int sent = 0;
        for (NodeConnections.NodeConnection node : tasks.nodes().connected()) {
            NodeProgress progress = nodes.computeIfAbsent(node.name, key -> new NodeProgress());
            if (progress.incarnation != node.incarnation) {
                progress.incarnation = node.incarnation;
                progress.acknowledgedNumber = 0;
                progress.isOrderPending = false;
                progress.nextOrderAt = Double.NEGATIVE_INFINITY;
            }
            if (!progress.isOrderPending
                    && now >= progress.nextOrderAt
                    && node.report().has("clock")
                    && sent++ < MAX_ORDERS_PER_TICK) {
                sendUpdate(node, progress);
            }
        }
    }

    private void sendUpdate(NodeConnections.NodeConnection node, NodeProgress progress) {
        EndpointUpdate update = endpoints.updateSince(progress.acknowledgedNumber);
        ObjectNode order =
                JsonMessages.newObject()
                        .put("number", update.number())
                        .put("base", update.baseNumber())
                        .put("generation", update.generation());
        JsonMessages.putTexts(order.putObject("changed"), update.changed());
        JsonMessages.addTexts(order.putArray("gone"), update.removed());
        progress.isOrderPending = true;
        tasks.count(update.baseNumber() == 0 ? "lists told whole" : "lists told by difference");
        long incarnation = progress.incarnation;
        sendOrder(
                node,
                "hosts",
                order,
                verdict -> {
                    if (progress.incarnation != incarnation) {
                        return;
                    }
                    progress.isOrderPending = false;
                    String result = verdict == null ? "" : verdict.path("end").asText();
                    if (result.equals("TAKEN") || result.equals("SAME")) {
                        progress.acknowledgedNumber = update.number();
                        progress.nextOrderAt =
                                progress.acknowledgedNumber == endpoints.number()
                                        ? now() + KEEPALIVE_SECONDS
                                        : Double.NEGATIVE_INFINITY;
                    } else {
                        if (result.equals("WHOLE")) {
                            progress.acknowledgedNumber = 0;
                        }
                        progress.nextOrderAt = now() + RETRY_SECONDS;
                    }
                });
    }

    @Override
    public void nodeReported(NodeConnections.NodeConnection node) {
        // The verdicts tell what a node has.
    }

    @Override
    public void nodeDisconnected(NodeConnections.NodeConnection node) {
        nodes.remove(node.name);
    }
}
