package embershift.door;

import embershift.fleet.audit.AuditEntry;
import embershift.fleet.endpoints.AppliedEndpoints;
import embershift.fleet.endpoints.EndpointSourceSelector;
import embershift.fleet.endpoints.EndpointSourceSelector.Source;
import embershift.fleet.endpoints.EndpointUpdate;
import embershift.fleet.lease.FencingToken;
import embershift.model.HostId;
import embershift.model.RosterEntry;
import embershift.program.NodeExtension;
import embershift.protocol.MalformedDataException;
import embershift.protocol.RosterUpdate;
import embershift.routing.Router;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Supplies the published endpoint list to the node's router in place of discovery, and switches the
 * node back to discovery when discovery has not confirmed the list for some time.
 */
final class EndpointFeed implements Router.ExternalRoster {

    private final NodeExtension.NodeContext node;
    private final AuditUploader auditLog;
    private final AppliedEndpoints endpoints = new AppliedEndpoints();
    private final EndpointSourceSelector selector;

    EndpointFeed(
            NodeExtension.NodeContext node,
            AgentSettings settings,
            AuditUploader auditLog,
            Random random) {
        this.node = node;
        this.auditLog = auditLog;
        selector =
                new EndpointSourceSelector(
                        node.loop().now(),
                        settings.listTimeoutSeconds(),
                        settings.listTimeoutJitterSeconds(),
                        random::nextDouble);
    }

    /** Whether the node uses published lists instead of polling discovery. */
    boolean usesPublishedList() {
        return selector.source() == Source.PUBLISHED;
    }

    FencingToken token() {
        return endpoints.token();
    }

    long number() {
        return endpoints.number();
    }

    void tick(double now) {
        updateSource(now);
    }

    /**
     * Applies a change of the list if it fits; if the node goes by the published list, the router
     * has the change when this returns.
     *
     * @param discovery the discovery that lists this, or null if the sender did not say
     * @param confirmedAt when discovery last confirmed the list, by this node's clock
     */
    AppliedEndpoints.Outcome apply(
            FencingToken token,
            EndpointUpdate update,
            InetSocketAddress discovery,
            double confirmedAt) {
        if (discovery != null && !discovery.equals(node.router().discoveryAddress())) {
            return AppliedEndpoints.Outcome.OTHER_DISCOVERY;
        }
        AppliedEndpoints.Outcome outcome = endpoints.apply(token, update);
        if (outcome != AppliedEndpoints.Outcome.APPLIED
                && outcome != AppliedEndpoints.Outcome.UNCHANGED) {
            return outcome;
        }
        double now = node.loop().now();
        boolean wasInUse = usesPublishedList();
        selector.updateReceived(now, discovery == null ? Double.NEGATIVE_INFINITY : confirmedAt);
        updateSource(now);
        if (wasInUse && outcome == AppliedEndpoints.Outcome.APPLIED) {
            node.router().tally().count("lists taken");
            node.router().applyRoster(update.isFullList() ? fullList() : deltaUpdate(update));
        }
        return outcome;
    }

    private void updateSource(double now) {
        Source before = selector.source();
        Source source = selector.update(now);
        if (source == before) {
            return;
        }
        if (source == Source.PUBLISHED) {
            usePublishedList();
        } else {
            pollDiscovery("no list that is confirmed");
        }
    }

    private void pollDiscovery(String reason) {
        node.router().tally().count("lists missed, discovery asked");
        auditLog.append(AuditEntry.Kind.LED, Map.of("by", "discovery"), reason);
        node.router().useExternalRoster(false);
    }

    private void usePublishedList() {
        Map<String, String> fields =
                Map.of(
                        "by", "list",
                        "fence", String.valueOf(endpoints.token().number()),
                        "number", String.valueOf(endpoints.number()));
        auditLog.append(AuditEntry.Kind.LED, fields, "");
        node.router().useExternalRoster(true);
        node.router().applyRoster(fullList());
        node.router().rosterConfirmed();
    }

    /**
     * The published list is of the discovery before, so the node polls the new one at once; any
     * generation that this reports is accepted.
     */
    @Override
    public void discoveryMoved() {
        endpoints.discoveryReported(Long.MIN_VALUE);
        boolean wasInUse = usesPublishedList();
        selector.discoveryMoved(node.loop().now());
        if (wasInUse) {
            pollDiscovery("discovery has moved");
        }
    }

    @Override
    public void discoveryAnswered(long generation) {
        endpoints.discoveryReported(generation);
    }

    @Override
    public RosterUpdate fullList() {
        return rosterUpdate(true, endpoints.entries());
    }

    private RosterUpdate deltaUpdate(EndpointUpdate update) {
        RosterUpdate changedEntries = rosterUpdate(false, update.changed());
        if (update.removed().isEmpty()) {
            return changedEntries;
        }
        List<RosterEntry> rosterEntries = new ArrayList<>(changedEntries.entries());
        update.removed().forEach(host -> rosterEntries.add(removedEntry(host)));
        return new RosterUpdate(
                changedEntries.generation(),
                false,
                rosterEntries,
                changedEntries.addresses(),
                changedEntries.malformedEntries());
    }

    private static RosterEntry removedEntry(String host) {
        return new RosterEntry(new HostId(host), RosterEntry.State.GONE, null, 1, 0, 0);
    }

    private RosterUpdate rosterUpdate(boolean isFull, Map<String, String> entries) {
        String text =
                "{\"generation\":"
                        + endpoints.number()
                        + ",\"reset\":"
                        + isFull
                        + ",\"instances\":["
                        + String.join(",", entries.values())
                        + "]}";
        try {
            return RosterUpdate.parse(text);
        } catch (MalformedDataException e) {
            // Not expected, as only entries that are JSON objects are published; an empty update
            // changes nothing.
            node.log("malformed endpoint list: " + e.getMessage());
            return new RosterUpdate(0, false, List.of(), Map.of(), 1);
        }
    }
}
