package embershift.hosted;

import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.door.JsonMessages;
import embershift.door.TomlSettings;
import embershift.fleet.endpoints.EndpointUpdate;
import embershift.fleet.endpoints.PublishedEndpoints;
import embershift.fleet.lease.TaskPlan;
import java.util.HashMap;
import java.util.Map;

/** Asks discovery for all nodes, and hands them the list by number and difference. */
final class ListsDuty extends Duty implements Nodes.Listener {

    /**
     * Seconds between two words to a node that has the list, so that it does not ask discovery
     * itself.
     */
    private static final double KEEP = 1;

    private static final double AGAIN = 0.2;

    /**
     * Nodes that are told at one tick: a hundred that come back at once are told over a second or
     * so.
     */
    private static final int AT_ONCE = 16;

    /** Seconds after which discovery counts as away: this owner can't do the duty then. */
    private static final double DEAF = 8;

    private static final class Told {
        private long incarnation;
        private long has;
        private boolean out;
        private double next = Double.NEGATIVE_INFINITY;
    }

    private PublishedEndpoints told = new PublishedEndpoints();
    private Discovery discovery;
    private final Map<String, Told> nodes = new HashMap<>();

    ListsDuty(Duties all) {
        super(all, "lists");
        own(new TaskPlan("lists", 0, 0), all.fleet().standing());
    }

    @Override
    void begin() {
        told = new PublishedEndpoints();
        nodes.clear();
        PublishedEndpoints mine = told;
        discovery =
                new Discovery(
                        all.loop(),
                        TomlSettings.parseAddress(all.fleet().discovery()),
                        (generation, whole, anew) -> {
                            all.counted("discovery answers");
                            if (anew) {
                                mine.discoveryRestarted();
                            }
                            if (mine.update(generation, whole)) {
                                all.counted("lists made");
                                nodes.values()
                                        .forEach(node -> node.next = Double.NEGATIVE_INFINITY);
                            }
                        });
    }

    @Override
    void end() {
        all.counted("discovery calls", discovery.calls());
        discovery.close();
        discovery = null;
    }

    @Override
    void work() {
        double now = now();
        if (now - discovery.heardAt() < DEAF
                && (all.nodes().linked().size() > 0
                        || all.record().findByPrefix(Nodes.NODE).isEmpty())) {
            owner().progressMade(now);
        }
        if (told.number() == 0) {
            return;
        }
        int sent = 0;
        for (Nodes.NodeLink link : all.nodes().linked()) {
            Told node = nodes.computeIfAbsent(link.name, none -> new Told());
            if (node.incarnation != link.incarnation) {
                node.incarnation = link.incarnation;
                node.has = 0;
                node.out = false;
                node.next = Double.NEGATIVE_INFINITY;
            }
            if (!node.out && now >= node.next && link.report().has("clock") && sent++ < AT_ONCE) {
                tell(link, node);
            }
        }
    }

    private void tell(Nodes.NodeLink link, Told node) {
        EndpointUpdate change = told.updateSince(node.has);
        ObjectNode order =
                JsonMessages.newObject()
                        .put("number", change.number())
                        .put("base", change.baseNumber())
                        .put("generation", change.generation());
        JsonMessages.putTexts(order.putObject("changed"), change.changed());
        JsonMessages.addTexts(order.putArray("gone"), change.removed());
        node.out = true;
        all.counted(change.baseNumber() == 0 ? "lists told whole" : "lists told by difference");
        long incarnation = node.incarnation;
        order(
                link,
                "hosts",
                order,
                verdict -> {
                    if (node.incarnation != incarnation) {
                        return;
                    }
                    node.out = false;
                    String end = verdict == null ? "" : verdict.path("end").asText();
                    if (end.equals("TAKEN") || end.equals("SAME")) {
                        node.has = change.number();
                        node.next =
                                node.has == told.number() ? now() + KEEP : Double.NEGATIVE_INFINITY;
                    } else {
                        if (end.equals("WHOLE")) {
                            node.has = 0;
                        }
                        node.next = now() + AGAIN;
                    }
                });
    }

    @Override
    public void reported(Nodes.NodeLink node) {
        // What a node has is known by its verdicts.
    }

    @Override
    public void unlinked(Nodes.NodeLink node) {
        nodes.remove(node.name);
    }
}
