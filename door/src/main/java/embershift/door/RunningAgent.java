package embershift.door;

import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.fleet.audit.AuditEntry;
import embershift.fleet.audit.AuditLog;
import embershift.fleet.lease.FencingGuard;
import embershift.fleet.lease.FencingToken;
import embershift.fleet.lease.OrderAdmission;
import embershift.fleet.lease.TaskId;
import embershift.fleet.rollout.AppliedRevision;
import embershift.program.NodeExtension;
import embershift.protocol.NodeConfiguration;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * The agent of a started node: creates its components, dispatches the instances' messages to them,
 * and drives them by a timer, all on the node's event loop.
 */
final class RunningAgent implements InstanceConnection.Listener {

    private static final double TICK_SECONDS = 0.2;

    private final NodeExtension.NodeContext node;
    private final AgentSettings settings;
    private final Registration registration;
    private final List<InstanceConnection> connections = new ArrayList<>();
    private final FencingGuard fencingGuard = new FencingGuard();
    private final OrderAdmission admission;
    private final FencingTokenReads tokenReads;
    private final AppliedRevision revision = new AppliedRevision();
    private final AuditUploader auditLog;
    private final SessionCounter sessions;
    private final EndpointFeed endpoints;
    private final RevisionApplier revisions;
    private final RestartEjections restartEjections;
    private final OrderExecutor orders;
    private final double startedAt;
    private double lastHeardAt;
    private long minRevision;
    private boolean isAccepted;
    private boolean isShuttingDown;
    private boolean lastRecordedReady;

    RunningAgent(NodeExtension.NodeContext node, AgentSettings settings) {
        this.node = node;
        this.settings = settings;
        startedAt = node.loop().now();
        lastHeardAt = startedAt;
        String bootId = Long.toHexString(new SecureRandom().nextLong());
        Random random = new Random(bootId.hashCode());
        registration = new Registration(node.configuration().name(), bootId);
        admission = new OrderAdmission(fencingGuard, settings.maxOrderAgeSeconds());
        tokenReads = new FencingTokenReads(fencingGuard, connections);
        auditLog =
                new AuditUploader(
                        node.loop(),
                        new AuditLog(settings.maxPendingEntries()),
                        registration,
                        admission,
                        connections);
        sessions = new SessionCounter(node.router(), revision, auditLog, startedAt);
        endpoints = new EndpointFeed(node, settings, auditLog, random);
        revisions = new RevisionApplier(node, revision, auditLog, sessions);
        restartEjections = new RestartEjections(node.ejections(), auditLog);
        orders =
                new OrderExecutor(
                        node.loop(),
                        node.router().tally(),
                        admission,
                        tokenReads,
                        endpoints,
                        revisions,
                        restartEjections,
                        auditLog,
                        this::reportNow);
        for (String instance : settings.instances()) {
            connections.add(
                    new InstanceConnection(
                            node.loop(),
                            TomlSettings.parseAddress(instance),
                            registration,
                            this,
                            random));
        }
    }

    void start() {
        node.router().setExternalRoster(endpoints);
        auditLog.append(
                AuditEntry.Kind.STARTED,
                Map.of("revision", "0", "boot", registration.bootId()),
                "");
        node.log(
                "connects to the control-plane instances "
                        + String.join(", ", settings.instances()));
        reportPeriodically();
        tick();
    }

    /** Whether clients may be sent to this node, as far as the control plane is concerned. */
    boolean isReady() {
        if (admission.shutOutReason().isPresent() || isShuttingDown) {
            return false;
        }
        if (isAccepted) {
            return revision.number() >= minRevision;
        }
        // Without the instances a node serves with what it has, unless its operator wants
        // otherwise.
        return settings.stalePolicy() == AgentSettings.StalePolicy.SERVE
                && node.loop().now() - startedAt >= settings.startTimeoutSeconds();
    }

    NodeConfiguration adapt(NodeConfiguration configuration) {
        return revisions.adapt(configuration);
    }

    /**
     * Called when the node shuts down gracefully: remaining audit entries and a report are sent at
     * once.
     */
    void shutDown() {
        isShuttingDown = true;
        sessions.record(node.loop().now(), true);
        auditLog.append(AuditEntry.Kind.ENDS, Map.of(), "");
        reportNow();
        auditLog.retry();
    }

    private void tick() {
        double now = node.loop().now();
        connections.forEach(connection -> connection.tick(now));
        tokenReads.tick(now);
        endpoints.tick(now);
        restartEjections.tick(now);
        recordReadiness();
        sessions.tick(now);
        auditLog.tick(now);
        exitIfStale(now);
        node.loop().schedule(TICK_SECONDS, this::tick);
    }

    private void recordReadiness() {
        boolean isReady = isReady();
        if (isReady != lastRecordedReady) {
            lastRecordedReady = isReady;
            auditLog.append(AuditEntry.Kind.READY, Map.of("ready", String.valueOf(isReady)), "");
            reportNow();
        }
    }

    private void exitIfStale(double now) {
        if (settings.stalePolicy() == AgentSettings.StalePolicy.LEAVE
                && now - lastHeardAt > settings.staleAfterSeconds()
                && !isShuttingDown) {
            node.log("no instance is heard for " + settings.staleAfterSeconds() + " s: leaves");
            isShuttingDown = true;
            node.exit(FleetAgent.EXIT_STALE);
        }
    }

    private void reportPeriodically() {
        reportNow();
        if (!isShuttingDown) {
            node.loop().schedule(settings.reportSeconds(), this::reportPeriodically);
        }
    }

    private void reportNow() {
        ObjectNode report = report();
        connections.forEach(connection -> connection.send(report));
    }

    private ObjectNode report() {
        ObjectNode report =
                JsonMessages.newMessage("report")
                        .put("clock", node.loop().now())
                        .put("incarnation", registration.incarnation())
                        .put("revision", revision.number())
                        .put("chain", revision.chainDigest())
                        .put("content", revisions.effectiveDigest())
                        .put("ready", node.isServing() && isReady())
                        .put("refused", revision.rejectedNumber())
                        .put("why", revision.rejectionReason())
                        .put("list-fence", endpoints.token().number())
                        .put("list", endpoints.number())
                        .put("led", endpoints.usesPublishedList())
                        .put("open", node.router().openTunnels())
                        .put("time", auditLog.clock().toString());
        SessionCounter.totals(node.router().tally()).forEach(report::put);
        JsonMessages.addTexts(report.putArray("out"), restartEjections.hostNames());
        return report;
    }

    @Override
    public void received(InstanceConnection connection, InstanceMessage message) {
        message.clock().ifPresent(auditLog::observe);
        minRevision = Math.max(minRevision, message.floor());
        InstanceMessage.Content content = message.content();
        if (content instanceof InstanceMessage.Welcome welcome) {
            nodeAccepted(connection, welcome);
        } else if (content instanceof InstanceMessage.ReportReceived) {
            lastHeardAt = node.loop().now();
        } else if (content instanceof InstanceMessage.Order order) {
            orders.execute(order, connection::send);
        } else if (content instanceof InstanceMessage.SegmentStored stored) {
            auditLog.segmentStored(stored.number());
        } else if (content instanceof InstanceMessage.ShutOut shutOut) {
            shutOut(shutOut.reason());
        }
    }

    private void nodeAccepted(InstanceConnection connection, InstanceMessage.Welcome accepted) {
        lastHeardAt = node.loop().now();
        registration.registered(accepted.incarnation());
        isAccepted = true;
        connection.send(report());
        connections.forEach(InstanceConnection::handshake);
    }

    private void shutOut(String reason) {
        if (admission.shutOutReason().isPresent()) {
            return;
        }
        admission.shutOut(reason);
        node.log("shut out: " + reason);
        auditLog.append(AuditEntry.Kind.OUT, Map.of(), reason);
        node.exit(FleetAgent.EXIT_SHUT_OUT);
    }

    @Override
    public void fencingTokenRead(TaskId task, FencingToken latest) {
        fencingGuard.learnLatest(task, latest);
    }

    @Override
    public void registrationAvailable() {
        connections.forEach(InstanceConnection::handshake);
    }
}
