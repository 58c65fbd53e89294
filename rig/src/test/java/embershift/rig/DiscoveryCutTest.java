package embershift.rig;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import embershift.rig.process.FleetSite;
import embershift.rig.process.Instances;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.ITestResult;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Instances that lose their way to discovery, while nodes reach both. Guards against review/7:
 * nodes stayed on the list of an owner that could no longer confirm it.
 */
public class DiscoveryCutTest {

    private static final double PATIENCE = 30;

    /** A change counts as known six seconds after discovery had it; the grace of a drain is 1 s. */
    private static final double LATEST_SECONDS = 6 + 1;

    private static final List<String> NODES = List.of("n1", "n2");

    private Path folder;
    private FleetSite site;

    @BeforeMethod
    public void begin() throws IOException {
        folder = Files.createTempDirectory("rig");
        site = new FleetSite(folder, 3, NODES.size(), 3, "session-s = 1.5\n", "");
    }

    @AfterMethod
    public void end(ITestResult result) throws IOException {
        site.close();
        if (result.isSuccess()) {
            Instances.delete(folder);
        } else {
            System.out.println("what is left of the run: " + folder);
        }
    }

    private boolean onlyOwnerCallsDiscovery() {
        site.hosts.forgetCallers();
        Instances.sleep(3.5);
        return site.hosts.callers() == 1;
    }

    private void openTunnelsFor(double seconds) {
        long end = System.nanoTime() + (long) (1e9 * seconds);
        while (System.nanoTime() <= end) {
            for (String node : NODES) {
                assertTrue(site.tunnel(node).startsWith("UP"));
            }
            Instances.sleep(0.1);
        }
    }

    @DataProvider
    public Object[][] cuts() {
        return new Object[][] {{"the owner"}, {"all instances"}};
    }

    @Test(dataProvider = "cuts")
    public void drainReachesNodesInTimeWhoseOwnerOfListsHasLostDiscovery(String who)
            throws IOException {
        String owner = site.awaitOwner("lists", null);
        FleetSite.await("nodes use lists", PATIENCE, this::onlyOwnerCallsDiscovery);
        List<String> cut = who.equals("the owner") ? List.of(owner) : site.instances.names();
        cut.forEach(name -> site.ways.cutBoth(name, FleetSite.DISCOVERY, true));
        Instances.sleep(1);
        long beforeDrain = System.nanoTime();
        site.hosts.lifecycle("h1", "terminating", true);
        openTunnelsFor(LATEST_SECONDS);
        long told = System.nanoTime();
        openTunnelsFor(4);
        assertTrue(site.setups("h2", null, beforeDrain) > 0, "no tunnels at the other hosts");
        assertEquals(site.setups("h1", null, told), 0);
        cut.forEach(name -> site.ways.cutBoth(name, FleetSite.DISCOVERY, false));
        FleetSite.await("nodes use lists again", PATIENCE, this::onlyOwnerCallsDiscovery);
    }
}
