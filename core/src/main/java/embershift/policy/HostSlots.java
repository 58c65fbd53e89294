package embershift.policy;

import embershift.policy.Policy.Host;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.zip.CRC32;

/**
 * Hosts in seats by a number of their own, alike at all nodes that know the same hosts. A number
 * falls on a host or on an empty seat; a host that is enrolled or stops taking tunnels shifts only
 * what falls on it.
 */
final class HostSlots {

    private static final int MIN_SLOTS = 1024;

    private Host[] slots = new Host[MIN_SLOTS];

    /** The roll whose hosts are to be seated anew; null while they sit. */
    private List<Host> staleHosts;

    private int rebuilds;

    /**
     * Keeps the roll in one order at all nodes, so that the intervals of the draw lie alike. Hosts
     * are seated when they are next looked for: a list of thousands is enrolled in one round, and
     * would be seated as often as it has hosts.
     */
    Host addHost(Host host, List<Host> hostsByName) {
        int index =
                Collections.binarySearch(
                        hostsByName, host, Comparator.comparing((Host other) -> other.id.name()));
        hostsByName.add(index < 0 ? -index - 1 : index, host);
        staleHosts = hostsByName;
        return host;
    }

    /** How often all hosts were seated. */
    int rebuilds() {
        return rebuilds;
    }

    /** Seats all hosts anew where some were enrolled; at least half of the seats stay empty. */
    private void rebuildIfStale() {
        if (staleHosts == null) {
            return;
        }
        List<Host> hosts = staleHosts;
        staleHosts = null;
        rebuilds++;
        slots = new Host[Math.max(MIN_SLOTS, 4 * Integer.highestOneBit(hosts.size()))];
        for (Host host : hosts) {
            int slot = slotOf(mix(hash(host.id.name())));
            while (slots[slot] != null) {
                slot = slot + 1 & slots.length - 1;
            }
            slots[slot] = host;
        }
    }

    /** The host on whose seat the number falls, or null. */
    Host hostAt(long hash) {
        rebuildIfStale();
        return slots[slotOf(hash)];
    }

    int slotCount() {
        rebuildIfStale();
        return slots.length;
    }

    private int slotOf(long hash) {
        return (int) (hash >>> 33) & slots.length - 1;
    }

    static long hash(String name) {
        CRC32 crc = new CRC32();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        return crc.getValue() << 16;
    }

    /** Spreads numbers that lie close together or differ in few bits, as CRC32 leaves them. */
    static long mix(long value) {
        long mixed = (value + 1) * 0x9E3779B97F4A7C15L;
        mixed = (mixed ^ mixed >>> 32) * 0xD6E8FEB86659FD93L;
        return mixed ^ mixed >>> 32;
    }
}
