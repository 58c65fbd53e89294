package embershift.hosted;

import static net.logstash.logback.argument.StructuredArguments.kv;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.door.JsonMessages;
import embershift.fleet.audit.AuditSegment;
import embershift.fleet.audit.HybridLogicalClock;
import embershift.fleet.store.KeyValue;
import embershift.fleet.store.KeyValueStore;
import embershift.fleet.store.Mutation;
import embershift.fleet.store.Precondition;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The nodes that are connected to this instance: their registrations, their messages and the orders
 * that they have not answered yet. Not thread-safe.
 */
final class NodeConnections {

    private static final Logger LOG = LoggerFactory.getLogger(NodeConnections.class);
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final double CALL_TIMEOUT_SECONDS = 3;

    /**
     * Seconds after which an order without a verdict is given up: by then, or soon after, the node
     * considers it expired.
     */
    private static final double VERDICT_TIMEOUT_SECONDS = 5;

    private static final int PROTOCOL_VERSION = 1;

    /** The most orders to one node that may be unanswered. */
    private static final int MAX_PENDING_ORDERS = 64;

    /** Names of nodes that may be registered; further ones wait until some are forgotten. */
    static final int MAX_REGISTERED_NODES = 4096;

    static final String NODE_PREFIX = "node/";
    static final String SHUT_OUT_PREFIX = "out/";

    /** A connection to a node. */
    interface Channel {

        /** Sends a message; it may be dropped while earlier ones are still unsent. */
        void sendToNode(ObjectNode message);

        /** Closes the connection once everything written to it has been sent. */
        void closeGracefully();

        /** Closes the connection immediately. */
        void close();
    }

    /** Makes calls to the replicated store. */
    interface StoreCalls {

        /** Makes a call; the listener gets the outcome within about the timeout, in seconds. */
        void call(ObjectNode call, double timeoutSeconds, Consumer<StoreClient.Outcome> listener);
    }

    /** Is notified about connected nodes. */
    interface Listener {

        void nodeReported(NodeConnection node);

        void nodeDisconnected(NodeConnection node);
    }

    private record PendingOrder(Consumer<ObjectNode> listener, double deadline) {}

    /** One node's connection. */
    final class NodeConnection {
        final String name;
        final String bootId;
        long incarnation;
        private final Channel connection;
        private double nodeClock;
        private double lastHeardAt;
        private JsonNode report = JsonMessages.newObject();
        private boolean isWelcomed;
        private boolean isStoringAuditSegment;
        private final Map<Long, PendingOrder> pendingOrders = new HashMap<>();

        private NodeConnection(
                String name,
                String bootId,
                long incarnation,
                double nodeClock,
                Channel connection) {
            this.name = name;
            this.bootId = bootId;
            this.incarnation = incarnation;
            this.nodeClock = nodeClock;
            this.connection = connection;
            lastHeardAt = clock.getAsDouble();
        }

        /**
         * Returns the latest time, by this instance's clock, at which the node is known to have
         * been running.
         */
        double lastHeardAt() {
            return lastHeardAt;
        }

        /** Returns the node's latest report; empty before the first. */
        JsonNode report() {
            return report;
        }

        /** Sends an order; the listener gets the verdict, or null if none comes in time. */
        void sendOrder(ObjectNode order, Consumer<ObjectNode> listener) {
            if (pendingOrders.size() >= MAX_PENDING_ORDERS) {
                listener.accept(null);
                return;
            }
            long id = ++lastOrderId;
            pendingOrders.put(
                    id, new PendingOrder(listener, clock.getAsDouble() + VERDICT_TIMEOUT_SECONDS));
            send(order.put("kind", "order").put("id", id).put("seen", nodeClock));
        }

        private void send(ObjectNode message) {
            hybridClock = hybridClock.next(System.currentTimeMillis());
            connection.sendToNode(
                    message.put("floor", revisionFloor())
                            .put("time", hybridClock.toString())
                            .put("at", clock.getAsDouble()));
        }

        private void reject(String reason) {
            LOG.warn(
                    "node rejected",
                    kv("node", name),
                    kv("incarnation", incarnation),
                    kv("why", reason));
            send(JsonMessages.newMessage("out").put("why", reason));
            connection.closeGracefully();
            remove(this);
        }
    }

    private final DoubleSupplier clock;
    private final Supplier<KeyValueStore> store;
    private final StoreCalls registrationClient;
    private final StoreCalls auditClient;
    private final Listener listener;
    private final Map<String, NodeConnection> connections = new TreeMap<>();
    private HybridLogicalClock hybridClock = HybridLogicalClock.START;
    private long lastOrderId;

    NodeConnections(
            DoubleSupplier clock,
            Supplier<KeyValueStore> store,
            StoreCalls registrationClient,
            StoreCalls auditClient,
            Listener listener) {
        this.clock = clock;
        this.store = store;
        this.registrationClient = registrationClient;
        this.auditClient = auditClient;
        this.listener = listener;
    }

    Collection<NodeConnection> connected() {
        return connections.values();
    }

    NodeConnection get(String name) {
        return connections.get(name);
    }

    private long revisionFloor() {
        return LeasedTask.leadingNumber(store.get().find(RolloutTask.FLOOR_KEY).orElse(null));
    }

    /**
     * Rejects the nodes that may no longer act and expires orders. Call it several times a second.
     */
    void checkConnections() {
        double now = clock.getAsDouble();
        for (NodeConnection node : List.copyOf(connections.values())) {
            String reason = rejectionReason(node.name, node.bootId, node.incarnation);
            if (reason != null) {
                node.reject(reason);
                continue;
            }
            for (Map.Entry<Long, PendingOrder> pending :
                    new ArrayList<>(node.pendingOrders.entrySet())) {
                if (now > pending.getValue().deadline) {
                    node.pendingOrders.remove(pending.getKey());
                    pending.getValue().listener.accept(null);
                }
            }
        }
    }

    /**
     * Returns why an incarnation may not act for the fleet according to this instance's replica of
     * the store, or null.
     */
    private String rejectionReason(String name, String bootId, long incarnation) {
        if (incarnation == 0) {
            return null;
        }
        KeyValue shutOut = store.get().find(SHUT_OUT_PREFIX + name).orElse(null);
        if (shutOut != null && LeasedTask.leadingNumber(shutOut) >= incarnation) {
            return "shut out: " + shutOut.value().replaceFirst("^\\d+ ?", "");
        }
        KeyValue registration = store.get().find(NODE_PREFIX + name).orElse(null);
        return registration != null
                        && !registration.value().equals(bootId)
                        && registration.revision() > incarnation
                ? "another process has the name " + name + " since"
                : null;
    }

    // Messages of nodes

    NodeConnection handleHello(Channel connection, ObjectNode hello) {
        String name = hello.path("name").asText();
        String bootId = hello.path("boot").asText();
        if (!NAME_PATTERN.matcher(name).matches()
                || !bootId.matches("[0-9a-f]{1,16}")
                || hello.path("version").asInt() != PROTOCOL_VERSION) {
            connection.sendToNode(
                    JsonMessages.newMessage("out")
                            .put(
                                    "why",
                                    "a node has a name of its own, and speaks version "
                                            + PROTOCOL_VERSION));
            connection.closeGracefully();
            return null;
        }
        NodeConnection node =
                new NodeConnection(
                        name,
                        bootId,
                        hello.path("incarnation").asLong(),
                        hello.path("clock").asDouble(),
                        connection);
        String reason = rejectionReason(name, bootId, node.incarnation);
        if (reason != null) {
            node.reject(reason);
            return node;
        }
        KeyValue registration = store.get().find(NODE_PREFIX + name).orElse(null);
        if (node.incarnation > 0 || (registration != null && registration.value().equals(bootId))) {
            welcome(node, node.incarnation > 0 ? node.incarnation : registration.revision());
        } else if (registration == null
                && store.get().findByPrefix(NODE_PREFIX).size() >= MAX_REGISTERED_NODES) {
            LOG.warn("too many nodes are registered", kv("node", name));
            connection.close();
        } else {
            register(node, registration == null ? Precondition.ABSENT : registration.revision());
        }
        return node;
    }

    /**
     * Registers the process under its name; the revision of that write is its incarnation. The
     * write is refused if another process has registered since the handshake: a write that arrives
     * late must not make a process that has ended the latest one.
     *
     * @param previousRegistration the revision of the registration that this one replaces, as this
     *     instance's replica has it
     */
    private void register(NodeConnection node, long previousRegistration) {
        registrationClient.call(
                StoreClient.newPut(NODE_PREFIX + node.name, node.bootId, previousRegistration),
                CALL_TIMEOUT_SECONDS,
                outcome -> {
                    if (outcome.isDone()) {
                        welcome(node, outcome.answer().path("number").asLong());
                    } else {
                        // The node reconnects and registers again.
                        LOG.info(
                                "registration not stored",
                                kv("node", node.name),
                                kv("boot", node.bootId),
                                kv("why", outcome.reason()));
                        node.connection.close();
                    }
                });
    }

    /**
     * Returns whether a process yields to another one of its name, which is the case if the other
     * has registered later. A process whose registration timed out and yet was stored afterwards
     * has two incarnations, and a connection that it has left may still be listed here with the
     * higher one. So a process never yields to itself.
     */
    static boolean yieldsTo(
            long incarnation, String bootId, long otherIncarnation, String otherBootId) {
        return otherIncarnation > incarnation && !otherBootId.equals(bootId);
    }

    private void welcome(NodeConnection node, long incarnation) {
        node.incarnation = incarnation;
        NodeConnection previous = connections.get(node.name);
        if (previous != null && previous != node) {
            if (yieldsTo(incarnation, node.bootId, previous.incarnation, previous.bootId)) {
                node.reject("another process has the name " + node.name + " since");
                return;
            }
            if (previous.bootId.equals(node.bootId)) {
                previous.connection.close();
            } else {
                previous.reject("another process has the name " + node.name + " since");
            }
            remove(previous);
        }
        connections.put(node.name, node);
        node.isWelcomed = true;
        node.send(JsonMessages.newMessage("welcome").put("incarnation", incarnation));
    }

    void handleMessage(NodeConnection node, ObjectNode message) {
        HybridLogicalClock.decode(message.path("time").asText(""))
                .ifPresent(
                        nodeTime ->
                                hybridClock =
                                        hybridClock.merge(nodeTime, System.currentTimeMillis()));
        if (!node.isWelcomed) {
            return;
        }
        // The node echoes the time of the latest message that it had received before it sent
        // this one: a message that was long on its way proves nothing recent about the node.
        node.lastHeardAt =
                Math.max(
                        node.lastHeardAt,
                        Math.min(message.path("echo").asDouble(), clock.getAsDouble()));
        switch (message.path("kind").asText()) {
            case "report" -> {
                node.nodeClock = message.path("clock").asDouble();
                node.report = message;
                node.send(JsonMessages.newMessage("heard"));
                listener.nodeReported(node);
            }
            case "verdict" -> {
                PendingOrder pending = node.pendingOrders.remove(message.path("id").asLong());
                if (pending != null) {
                    pending.listener.accept(message);
                }
            }
            case "trail" -> storeAuditSegment(node, message);
            default -> {}
        }
    }

    /**
     * Stores a segment of the node's audit log and then acknowledges it. The precondition stores it
     * only once however often it arrives. The node repeats a segment that is not acknowledged; one
     * that arrives while another is being stored is dropped.
     */
    private void storeAuditSegment(NodeConnection node, ObjectNode message) {
        AuditSegment segment = AuditSegment.decode(message.path("text").asText()).orElse(null);
        if (segment == null
                || !segment.node().equals(node.name)
                || segment.incarnation() != node.incarnation) {
            LOG.warn(
                    "audit segment rejected: malformed, or of another node or incarnation",
                    kv("node", node.name));
            return;
        }
        if (node.isStoringAuditSegment) {
            return;
        }
        node.isStoringAuditSegment = true;
        auditClient.call(
                AsyncStoreClient.newTransaction(
                        List.of(new Precondition(segment.key(), 0)),
                        List.of(Mutation.put(segment.key(), segment.encode()))),
                CALL_TIMEOUT_SECONDS,
                outcome -> {
                    node.isStoringAuditSegment = false;
                    if (outcome.isDone() || outcome.reason().equals("condition")) {
                        node.send(JsonMessages.newMessage("kept").put("number", segment.number()));
                    }
                });
    }

    void remove(NodeConnection node) {
        if (connections.remove(node.name, node)) {
            listener.nodeDisconnected(node);
        }
        node.pendingOrders.values().forEach(pending -> pending.listener.accept(null));
        node.pendingOrders.clear();
    }
}
