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
 * Applies a configuration revision to the node's components, completely and between two rounds of
 * the policy, or not at all; reads back from them which values are in effect.
 */
final class RevisionApplier {

    /** The source under which a revision's ejections are kept, among others at the same node. */
    private static final String EJECTION_SOURCE = "revision";

    private final NodeExtension.NodeContext node;
    private final Router router;
    private final AppliedRevision revision;
    private final AuditUploader auditLog;
    private final SessionCounter sessions;
    private RevisionFields applied = RevisionFields.NONE;

    /** The last revision that was in effect in a round of the policy. */
    private long effectiveNumber;

    private SortedMap<String, String> effectiveFields = new TreeMap<>();

    RevisionApplier(
            NodeExtension.NodeContext node,
            AppliedRevision revision,
            AuditUploader auditLog,
            SessionCounter sessions) {
        this.node = node;
        this.router = node.router();
        this.revision = revision;
        this.auditLog = auditLog;
        this.sessions = sessions;
    }

    /** Applies a revision, or rejects it; it is in effect after the next round of the policy. */
    AppliedRevision.Result apply(FencingToken token, AppliedRevision.Order order) {
        // Sessions answered until now were answered under the previous revision.
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
        applied = parsed;
        router.reconfigure(adapt(node.configuration()));
        node.ejections().replaceEjectedBy(EJECTION_SOURCE, parsed.ejectedHosts());
        return Optional.empty();
    }

    private void recordRejection(FencingToken token, AppliedRevision.Order order, String reason) {
        node.log(
                "revision "
                        + order.number()
                        + " is rejected, "
                        + revision.number()
                        + " stays in effect: "
                        + reason);
        auditLog.append(AuditEntry.Kind.REFUSED, entryFields(token, order.number()), reason);
    }

    /**
     * Records that a round of the policy has run with an applied revision. Returns false if the
     * next revision was applied in the same turn of the event loop, as happens to a process that
     * was suspended: then no round ever ran with this one.
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

    /** Returns the digest of the values in effect, for the fields that the revision has. */
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

    /** Returns a node's configuration with its values overridden by the revision's fields. */
    NodeConfiguration adapt(NodeConfiguration configuration) {
        return configuration.withOverrides(
                applied.discovery().orElse(null),
                applied.sockets().orElse(null),
                applied.peers().orElse(null));
    }
}
