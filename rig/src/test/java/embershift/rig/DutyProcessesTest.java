package embershift.rig;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import embershift.rig.history.History;
import embershift.rig.process.DutyHistory;
import embershift.rig.process.Instances;
import embershift.rig.process.OwnerStand;
import embershift.rig.process.Patience;
import embershift.rig.process.Program;
import embershift.rig.process.ReceiverStand;
import embershift.rig.process.Relay;
import embershift.rig.process.Ways;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.testng.ITestResult;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Owners, receivers and instances as processes: an old owner that goes on does no harm, as
 * receivers wrote it down.
 */
public class DutyProcessesTest {

    private static final double PATIENCE = 40;
    private static final List<String> OPTIONS =
            List.of("-XX:+UseSerialGC", "-Xmx64m", "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData");
    private static final List<String> RECEIVERS = List.of("r1", "r2");

    /**
     * So many that the work goes on for some seconds; far more where owners are stopped for long.
     */
    private static final int FEW = 60;

    private static final int MANY = 260;

    private Path folder;
    private Ways ways;
    private Instances instances;
    private final Map<String, Program> programs = new HashMap<>();
    private final Map<String, InetSocketAddress> listens = new HashMap<>();
    private final List<Relay> relays = new ArrayList<>();

    @BeforeMethod
    public void begin() throws IOException {
        folder = Files.createTempDirectory("rig");
        ways = new Ways(1);
        instances = new Instances(folder, 3, ways, new History(), "");
        instances.startAll();
        instances.form(3);
        RECEIVERS.forEach(
                name -> {
                    try {
                        receiver(name);
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                });
    }

    @AfterMethod
    public void end(ITestResult result) throws IOException {
        programs.values().forEach(Program::kill);
        programs.clear();
        for (Relay relay : relays) {
            relay.close();
        }
        relays.clear();
        instances.close();
        if (result.isSuccess()) {
            Instances.delete(folder);
        } else {
            System.out.println("what is left of the run: " + folder);
        }
    }

    private String record() {
        return instances.names().stream()
                .map(to -> "127.0.0.1:" + instances.way(Instances.CLIENTS, to).getPort())
                .collect(Collectors.joining(","));
    }

    private void receiver(String name) throws IOException {
        Program program =
                Program.java(
                        System.getProperty("java.class.path"),
                        OPTIONS,
                        ReceiverStand.class.getName(),
                        List.of(
                                name,
                                "work",
                                folder.resolve(name + ".orders").toString(),
                                record()),
                        Map.of(),
                        folder.resolve(name + ".log"));
        programs.put(name, program);
        int port =
                program.await(
                        text ->
                                text.contains("receiver at ") && text.endsWith("\n")
                                        ? Integer.valueOf(
                                                text.replaceAll("(?s).*receiver at (\\d+).*", "$1"))
                                        : null,
                        PATIENCE);
        listens.put(name, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    private void owner(String name, int steps) throws IOException {
        List<String> to = new ArrayList<>();
        for (String receiver : RECEIVERS) {
            Relay relay = new Relay(ways, name, receiver, () -> listens.get(receiver));
            relays.add(relay);
            to.add("127.0.0.1:" + relay.address().getPort());
        }
        programs.put(
                name,
                Program.java(
                        System.getProperty("java.class.path"),
                        OPTIONS,
                        OwnerStand.class.getName(),
                        List.of(
                                name,
                                "work",
                                String.valueOf(steps),
                                record(),
                                String.join(",", to)),
                        Map.of(),
                        folder.resolve(name + ".log")));
    }

    private List<DutyHistory.Line> lines() throws IOException {
        return DutyHistory.read(folder, RECEIVERS);
    }

    private int taken() throws IOException {
        return DutyHistory.reached(lines()).getOrDefault("last step", -1);
    }

    /**
     * The owner of the last order that was taken, once one of a step beyond this one was, by
     * another than these.
     */
    private String awaitTaken(int beyond, String... but) throws IOException {
        for (Patience patience = new Patience(PATIENCE); ; Instances.sleep(0.01)) {
            for (DutyHistory.Line line : lines()) {
                if (line.what().equals("TAKEN")
                        && line.step() > beyond
                        && !List.of(but).contains(line.owner())) {
                    return line.owner();
                }
            }
            assertTrue(!patience.over(), "nothing is taken: " + DutyHistory.reached(lines()));
        }
    }

    private void awaitDone(int steps) throws IOException {
        awaitTaken(steps - 2);
        assertNull(DutyHistory.broken(lines()));
    }

    @Test
    public void oldOwnerThatGoesOnIsRefusedAndItsOrdersOnTheWayToo() throws Exception {
        owner("o1", MANY);
        owner("o2", MANY);
        for (int round = 0; round < 2; round++) {
            String old = awaitTaken(taken() + 2);
            // What it sends from now on is late by more than its lease; then it stands still with
            // that on its way.
            for (String receiver : RECEIVERS) {
                ways.set(new Ways.Way(old, receiver), new Ways.State(false, 5, 0, 0));
            }
            Instances.sleep(0.2);
            programs.get(old).stop();
            String next = awaitTaken(taken(), old);
            assertTrue(!next.equals(old));
            Instances.sleep(0.3);
            programs.get(old).goOn();
            Instances.sleep(3.5);
            ways.clearAll();
            assertNull(DutyHistory.broken(lines()));
        }
        awaitDone(MANY);
        Map<String, Integer> reached = DutyHistory.reached(lines());
        assertTrue(
                reached.get("changes of owner") >= 3 && reached.getOrDefault("OLD", 0) >= 1,
                reached.toString());
        assertEquals(reached.get("last step").intValue(), MANY - 1);
    }

    @Test
    public void receiverThatStartedAnewObeysNobodyUntilTheRecordHasAnswered() throws Exception {
        owner("o1", FEW);
        owner("o2", FEW);
        awaitTaken(4);
        // The record is away: both followers of its leader stand still.
        String leader = instances.awaitLeader(PATIENCE);
        List<String> followers =
                instances.names().stream().filter(name -> !name.equals(leader)).toList();
        followers.forEach(instances::stop);
        programs.get("r1").kill();
        receiver("r1");
        Instances.sleep(1.5);
        long begun =
                lines().stream()
                        .filter(
                                line ->
                                        line.receiver().equals("r1")
                                                && line.what().equals("started"))
                        .reduce((one, other) -> other)
                        .orElseThrow()
                        .at();
        assertTrue(
                lines().stream()
                        .noneMatch(
                                line ->
                                        line.receiver().equals("r1")
                                                && line.at() > begun
                                                && line.what().equals("TAKEN")),
                "took an order without the record");
        followers.forEach(instances::goOn);
        awaitDone(FEW);
    }

    @Test
    public void ownerAndRecordsLeaderEndTogetherAndTheDutyGoesOn() throws Exception {
        owner("o1", FEW);
        owner("o2", FEW);
        String old = awaitTaken(4);
        String leader = instances.awaitLeader(PATIENCE);
        instances.kill(leader);
        programs.get(old).kill();
        awaitTaken(taken(), old);
        instances.start(leader);
        owner(old, FEW);
        awaitDone(FEW);
    }
}
