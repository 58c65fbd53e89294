package embershift.policy;

import embershift.policy.Policy.Host;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.zip.CRC32;

/**
 * Maps hash values to hosts, in the same way on all nodes that know the same hosts. A value falls
 * on a host's slot or on an empty one; a host that is added or stops taking tunnels changes only
 * the results of values that fall on it.
 */
final class HostSlots {

    private static final int MIN_SLOTS = 1024;

    private Host[] slots = new Host[MIN_SLOTS];

    /** Hosts for which the slots are to be rebuilt; null while the slots are up to date. */
    private List<Host> pendingHosts;

    private int rebuilds;

    /**
     * Inserts the host by its name, so that all nodes keep their hosts in one order and the draw's
     * intervals lie alike. The slots are rebuilt only on the next lookup: a roster of thousands of
     * hosts is added in one round, and would otherwise cause a rebuild for each of them.
     */
    Host addHost(Host host, List<Host> hostsByName) {
        int index =
                Collections.binarySearch(
                        hostsByName, host, Comparator.comparing((Host other) -> other.id.name()));
        hostsByName.add(index < 0 ? -index - 1 : index, host);
        pendingHosts = hostsByName;
        return host;
    }

    /** How many times the slots were rebuilt. */
    int rebuilds() {
        return rebuilds;
    }

    /** Rebuilds the slots if hosts were added; at least half of the slots stay empty. */
    private void rebuildIfStale() {
        if (pendingHosts == null) {
            return;
        }
        List<Host> hosts = pendingHosts;
        pendingHosts = null;
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

    /** The host on whose slot the value falls, or null. */
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

    /** Spreads values that lie close together or differ in few bits, such as those of CRC32. */
    static long mix(long value) {
        long mixed = (value + 1) * 0x9E3779B97F4A7C15L;
        mixed = (mixed ^ mixed >>> 32) * 0xD6E8FEB86659FD93L;
        return mixed ^ mixed >>> 32;
    }
}
