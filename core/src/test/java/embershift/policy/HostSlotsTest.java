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

    private static List<Policy.Host> enrolled(HostSlots seats, List<Policy.Host> hosts) {
        List<Policy.Host> roll = new ArrayList<>();
        hosts.forEach(host -> seats.addHost(host, roll));
        return roll;
    }

    private List<Policy.Host> hosts() {
        return new ArrayList<>(
                IntStream.range(0, HOSTS)
                        .mapToObj(i -> policy.new Host(PolicyHarness.host(i)))
                        .toList());
    }

    /**
     * A list of thousands comes in one round; seated at each of its hosts, it would hold the loop
     * up by its square.
     */
    @Test
    public void hostsOfOneListAreSeatedOnce() {
        HostSlots seats = new HostSlots();
        enrolled(seats, hosts());
        seats.hostAt(1);
        assertEquals(seats.slotCount(), 2048);
        assertEquals(seats.rebuilds(), 1);
    }

    /** Nodes hear of hosts in unlike orders, and numbers still fall on the same hosts. */
    @Test
    public void numbersFallOnTheSameHostsWhateverTheOrder() {
        List<Policy.Host> hosts = hosts();
        HostSlots here = new HostSlots();
        List<Policy.Host> roll = enrolled(here, hosts);
        assertEquals(
                roll,
                roll.stream()
                        .sorted(Comparator.comparing((Policy.Host host) -> host.id.name()))
                        .toList());
        Collections.shuffle(hosts, new Random(5));
        HostSlots there = new HostSlots();
        assertEquals(enrolled(there, hosts), roll);
        for (long number = 0; number < 5000; number++) {
            assertSame(there.hostAt(HostSlots.mix(number)), here.hostAt(HostSlots.mix(number)));
        }
    }
}
