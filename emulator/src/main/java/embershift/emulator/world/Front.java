package embershift.emulator.world;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The plain layer before the nodes: deals connections out evenly at random among the nodes of a
 * client's zone that it holds to be there. It takes in a node at its first answer and notices late
 * that one has died.
 */
final class Front {

    private final Map<String, List<NodeShell>> byZone = new LinkedHashMap<>();
    private final Dice dice;

    Front(List<String> zones, Dice dice) {
        zones.forEach(zone -> byZone.put(zone, new ArrayList<>()));
        this.dice = dice;
    }

    void takeIn(NodeShell node) {
        byZone.get(node.zone).add(node);
    }

    void takeOut(NodeShell node) {
        byZone.get(node.zone).remove(node);
    }

    /**
     * The node for a client of this zone: of another one where this has none, null where there is
     * none at all.
     */
    NodeShell deal(String zone) {
        List<NodeShell> near = byZone.get(zone);
        if (near.isEmpty()) {
            near = byZone.values().stream().flatMap(List::stream).toList();
        }
        return near.isEmpty() ? null : near.get(dice.below(near.size()));
    }
}
