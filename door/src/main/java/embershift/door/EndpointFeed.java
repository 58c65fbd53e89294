package embershift.door;

import embershift.fleet.audit.AuditEntry;
import embershift.fleet.endpoints.AppliedEndpoints;
import embershift.fleet.endpoints.EndpointUpdate;
import embershift.fleet.lease.FencingToken;
import embershift.model.HostId;
import embershift.model.RosterEntry;
import embershift.program.NodeExtension;
import embershift.protocol.MalformedDataException;
import embershift.protocol.RosterUpdate;
import embershift.routing.Router;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Hands the published list of endpoints to the node's router in place of discovery, and the node
 * back to discovery when no list comes for some time.
 */
final class EndpointFeed implements Router.ExternalRoster {

    private final NodeExtension.NodeContext node;
    private final AgentSettings settings;
    private final AuditUploader auditLog;
    private final Random random;
    private final AppliedEndpoints endpoints = new AppliedEndpoints();
    private double lastUpdateAt = Double.NEGATIVE_INFINITY;
    private boolean usesPublishedList;
    private boolean isFallbackDue;

    EndpointFeed(
            NodeExtension.NodeContext node,
            AgentSettings settings,
            AuditUploader auditLog,
            Random random) {
        this.node = node;
        this.settings = settings;
        this.auditLog = auditLog;
        this.random = random;
    }

    /** Whether the node goes by published lists, and doesn't poll discovery. */
    boolean usesPublishedList() {
        return usesPublishedList;
    }

    FencingToken token() {
        return endpoints.token();
    }

    long number() {
        return endpoints.number();
    }

    void tick(double now) {
        if (!usesPublishedList || now - lastUpdateAt <= settings.listTimeoutSeconds()) {
            return;
        }
        usesPublishedList = false;
        isFallbackDue = true;
        // Not all at once: the holder of the task may have ended for everybody.
        node.loop()
                .schedule(
                        settings.listTimeoutJitterSeconds() * random.nextDouble(),
                        this::fallBackToDiscovery);
    }

    private void fallBackToDiscovery() {
        if (!isFallbackDue || usesPublishedList) {
            return;
        }
        isFallbackDue = false;
        node.router().tally().count("lists missed, discovery asked");
        auditLog.append(
                AuditEntry.Kind.LED,
                Map.of("by", "discovery"),
                "no list for " + settings.listTimeoutSeconds() + " s");
        node.router().useExternalRoster(false);
    }

    /** Takes a change of the list, if it fits; the router has it when this returns. */
    AppliedEndpoints.Outcome apply(FencingToken token, EndpointUpdate update) {
        AppliedEndpoints.Outcome outcome = endpoints.apply(token, update);
        if (outcome != AppliedEndpoints.Outcome.APPLIED
                && outcome != AppliedEndpoints.Outcome.UNCHANGED) {
            return outcome;
        }
        lastUpdateAt = node.loop().now();
        isFallbackDue = false;
        if (!usesPublishedList) {
            usesPublishedList = true;
            switchToPublishedList(token, update);
        } else if (outcome == AppliedEndpoints.Outcome.APPLIED) {
            node.router().tally().count("lists taken");
            node.router().applyRoster(update.isFullList() ? fullList() : deltaUpdate(update));
        }
        return outcome;
    }

    private void switchToPublishedList(FencingToken token, EndpointUpdate update) {
        Map<String, String> fields =
                Map.of(
                        "by", "list",
                        "fence", String.valueOf(token.number()),
                        "number", String.valueOf(update.number()));
        auditLog.append(AuditEntry.Kind.LED, fields, "");
        node.router().useExternalRoster(true);
        node.router().applyRoster(fullList());
    }

    /** Discovery itself has moved: whatever generation it tells is news. */
    void discoveryMoved() {
        endpoints.discoveryReported(Long.MIN_VALUE);
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
            // Entries are objects, or they would not have been published; an empty page changes
            // nothing.
            node.log("a list that can't be read: " + e.getMessage());
            return new RosterUpdate(0, false, List.of(), Map.of(), 1);
        }
    }
}
