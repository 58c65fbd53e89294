package embershift.door;

import embershift.fleet.audit.AuditEntry;
import embershift.fleet.lease.FencingToken;
import embershift.fleet.rollout.AppliedRevision;
import embershift.fleet.rollout.ConfigRevision;
import embershift.model.HostId;
import embershift.program.NodeExtension;
import embershift.protocol.Addresses;
import embershift.protocol.NodeConfiguration;
import embershift.routing.Router;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Brings the node's parts to a configuration revision, completely and between two rounds of the
 * policy, or not at all; reads back from them what they really go by.
 */
final class RevisionApplier {

    /** The source of ejections that a revision orders, among others' at the same node. */
    private static final String EJECTION_SOURCE = "revision";

    private final NodeExtension.NodeContext node;
    private final Router router;
    private final AppliedRevision revision;
    private final EndpointFeed endpoints;
    private final AuditUploader auditLog;
    private final SessionCounter sessions;
    private RevisionFields applied = RevisionFields.NONE;

    /** The last revision that a round of the policy went by. */
    private long effectiveNumber;

    private SortedMap<String, String> effectiveFields = new TreeMap<>();

    RevisionApplier(
            NodeExtension.NodeContext node,
            AppliedRevision revision,
            EndpointFeed endpoints,
            AuditUploader auditLog,
            SessionCounter sessions) {
        this.node = node;
        this.router = node.router();
        this.revision = revision;
        this.endpoints = endpoints;
        this.auditLog = auditLog;
        this.sessions = sessions;
    }

    /** Applies a revision, or rejects it; it is in effect after the next round of the policy. */
    AppliedRevision.Result apply(FencingToken token, AppliedRevision.Order order) {
        // Whatever has been answered until now was answered by the revision before.
        sessions.record(node.loop().now(), false);
        AppliedRevision.Result result = revision.apply(order, this::applyFields);
        if (result.outcome() == AppliedRevision.Outcome.REJECTED) {
            recordRejection(token, order, result.reason());
        }
        return result;
    }

    private Optional<String> applyFields(SortedMap<String, String> fields) {
        RevisionFields parsed;
        try {
            parsed = RevisionFields.parse(fields);
        } catch (RevisionFields.InvalidFieldException e) {
            return Optional.of(e.getMessage());
        }
        InetSocketAddress discoveryBefore = router.discoveryAddress();
        applied = parsed;
        router.reconfigure(adapt(node.configuration()));
        if (!discoveryBefore.equals(router.discoveryAddress())) {
            endpoints.discoveryMoved();
        }
        node.ejections().replaceEjectedBy(EJECTION_SOURCE, parsed.ejectedHosts());
        return Optional.empty();
    }

    private void recordRejection(FencingToken token, AppliedRevision.Order order, String reason) {
        node.log(
                "revision "
                        + order.number()
                        + " is refused, "
                        + revision.number()
                        + " stays: "
                        + reason);
        auditLog.append(AuditEntry.Kind.REFUSED, entryFields(token, order.number()), reason);
    }

    /**
     * Notes that a round of the policy has gone by a revision that was applied. Returns false where
     * the next one came in the same turn, as they do to a process that stood still: no round ever
     * went by this one.
     */
    boolean confirmEffect(FencingToken token, long number) {
        if (revision.number() != number) {
            return false;
        }
        recordEffect(token, number);
        node.log("goes by revision " + number);
        return true;
    }

    private void recordEffect(FencingToken token, long number) {
        Map<String, String> fields = entryFields(token, number);
        fields.put("from", String.valueOf(effectiveNumber));
        fields.put("content", effectiveDigest());
        Set<HostId> before = RevisionFields.ejectedHosts(effectiveFields);
        effectiveNumber = number;
        effectiveFields = revision.fields();
        Set<HostId> after = RevisionFields.ejectedHosts(effectiveFields);
        fields.putAll(EjectionChange.entryFields(OrderAction.ROLLOUT_TASK, token, before, after));
        auditLog.append(AuditEntry.Kind.TOOK, fields, "");
        sessions.trackSetupsTo(after);
    }

    private static Map<String, String> entryFields(FencingToken token, long number) {
        Map<String, String> fields = new TreeMap<>();
        fields.put("revision", String.valueOf(number));
        fields.put("fence", String.valueOf(token.number()));
        return fields;
    }

    /** Returns the digest of what the node's parts go by, of the fields that the revision has. */
    String effectiveDigest() {
        return ConfigRevision.contentDigest(readEffectiveFields());
    }

    private SortedMap<String, String> readEffectiveFields() {
        SortedMap<String, String> effective = new TreeMap<>();
        for (HostId host : node.ejections().ejectedBy(EJECTION_SOURCE)) {
            String field = ConfigRevision.EJECTED_PREFIX + host.name();
            effective.put(field, revision.fields().getOrDefault(field, ""));
        }
        for (String field : revision.fields().keySet()) {
            readEffectiveValue(field).ifPresent(value -> effective.put(field, value));
        }
        return effective;
    }

    private Optional<String> readEffectiveValue(String field) {
        return switch (field) {
            case ConfigRevision.DISCOVERY ->
                    Optional.of(Addresses.format(router.discoveryAddress()));
            case ConfigRevision.SOCKETS -> Optional.of(String.valueOf(router.descriptorLimit()));
            case ConfigRevision.PEERS -> Optional.of(formatAddresses(router.peerAddresses()));
            default -> Optional.empty();
        };
    }

    private static String formatAddresses(List<InetSocketAddress> addresses) {
        return String.join(",", addresses.stream().map(Addresses::format).toList());
    }

    /** Returns a node's configuration with the revision's fields in place of its own. */
    NodeConfiguration adapt(NodeConfiguration configuration) {
        return configuration.withOverrides(
                applied.discovery().orElse(null),
                applied.sockets().orElse(null),
                applied.peers().orElse(null));
    }
}
