package embershift.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

public class HostSlotsTest {

    private static final int HOSTS = 700;

    private final Policy policy = new PolicyHarness(1).policy;

    private static List<Policy.Host> addAll(HostSlots slots, List<Policy.Host> hosts) {
        List<Policy.Host> hostsByName = new ArrayList<>();
        hosts.forEach(host -> slots.addHost(host, hostsByName));
        return hostsByName;
    }

    private List<Policy.Host> hosts() {
        return new ArrayList<>(
                IntStream.range(0, HOSTS)
                        .mapToObj(i -> policy.new Host(PolicyHarness.host(i)))
                        .toList());
    }

    /**
     * A roster of thousands of hosts arrives in one round: rebuilding the slots at each host would
     * block the event loop for a time that grows with the square of their number.
     */
    @Test
    public void slotsAreRebuiltOncePerRoster() {
        HostSlots slots = new HostSlots();
        addAll(slots, hosts());
        slots.hostAt(1);
        assertEquals(slots.slotCount(), 2048);
        assertEquals(slots.rebuilds(), 1);
    }

    /** Nodes learn of hosts in different orders, and hashes still map to the same hosts. */
    @Test
    public void hashesMapToSameHostsWhateverTheOrder() {
        List<Policy.Host> hosts = hosts();
        HostSlots first = new HostSlots();
        List<Policy.Host> hostsByName = addAll(first, hosts);
        assertEquals(
                hostsByName,
                hostsByName.stream()
                        .sorted(Comparator.comparing((Policy.Host host) -> host.id.name()))
                        .toList());
        Collections.shuffle(hosts, new Random(5));
        HostSlots second = new HostSlots();
        assertEquals(addAll(second, hosts), hostsByName);
        for (long value = 0; value < 5000; value++) {
            assertSame(second.hostAt(HostSlots.mix(value)), first.hostAt(HostSlots.mix(value)));
        }
    }
}
