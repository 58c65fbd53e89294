package embershift.rig;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import embershift.hosted.StoreClient;
import embershift.rig.history.History;
import embershift.rig.process.Instances;
import embershift.rig.process.Patience;
import embershift.rig.process.Program;
import embershift.rig.process.Ways;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.testng.ITestResult;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Processes of the hosted program that agree, and are killed, stopped and cut off. */
public class InstancesTest {

    /** Ten times what is usual, for what is waited for once faults are over. */
    private static final double PATIENCE = 20;

    private Path folder;
    private Ways ways;
    private History history;
    private Instances instances;

    @BeforeMethod
    public void begin() throws IOException {
        folder = Files.createTempDirectory("rig");
        ways = new Ways(1);
        history = new History();
    }

    @AfterMethod
    public void end(ITestResult result) throws IOException {
        instances.close();
        if (result.isSuccess()) {
            Instances.delete(folder);
        } else {
            history.write(folder.resolve("history.jsonl"));
            System.out.println("what is left of the run: " + folder);
        }
    }

    private void start(int many, int voters) throws IOException {
        instances =
                new Instances(
                        folder,
                        many,
                        ways,
                        history,
                        "[bounds]\nsnapshot-entries = 200\ntrail-entries = 50\n");
        instances.startAll();
        instances.form(voters);
    }

    private static String value(StoreClient.Outcome outcome) {
        assertTrue(outcome.isDone(), outcome.status() + ": " + outcome.text());
        return outcome.answer().path("items").path(0).path("value").asText("(none)");
    }

    private static void put(StoreClient client, String key, String value) {
        StoreClient.Outcome outcome = client.call(StoreClient.newPut(key, value, -1), PATIENCE);
        assertTrue(outcome.isDone(), outcome.status() + ": " + outcome.text());
    }

    private void awaitApplied(String name, long revision) {
        for (Patience patience = new Patience(PATIENCE); ; Instances.sleep(0.02)) {
            var status = instances.status(name);
            if (status != null && status.path("revision").asLong() >= revision) {
                return;
            }
            assertTrue(!patience.over(), name + " has not caught up: " + status);
        }
    }

    @Test
    public void leaderThatIsKilledIsFollowedByAnotherThatHasAllAndCatchesUpWhenItIsBack()
            throws Exception {
        start(3, 3);
        try (StoreClient client = instances.client()) {
            put(client, "a", "1");
            String first = instances.awaitLeader(PATIENCE);
            double killed = history.now();
            Patience patience = new Patience(PATIENCE);
            instances.kill(first);
            String second = instances.awaitLeader(PATIENCE, first);
            history.event("leads after", second, String.valueOf(history.now() - killed));
            assertTrue(!patience.over());
            assertEquals(
                    value(client.call(StoreClient.newCall("get").put("key", "a"), PATIENCE)), "1");
            put(client, "a", "2");
            instances.start(first);
            awaitApplied(first, 2);
        }
    }

    @Test
    public void callsThatWaitedInAStoppedLeaderDoNoHarmWhenItGoesOn() throws Exception {
        start(3, 3);
        try (StoreClient client = instances.client()) {
            put(client, "a", "1");
            String first = instances.awaitLeader(PATIENCE);
            instances.stop(first);
            StoreClient.Outcome[] late = new StoreClient.Outcome[2];
            Thread[] callers = new Thread[2];
            for (int i = 0; i < 2; i++) {
                int number = i;
                callers[i] =
                        new Thread(
                                () -> {
                                    // Both wait in the queues of the stopped process alone.
                                    try (StoreClient only = instances.client(first)) {
                                        late[number] =
                                                only.call(
                                                        number == 0
                                                                ? StoreClient.newPut("a", "old", -1)
                                                                        .put("session", 0)
                                                                : StoreClient.newCall("get")
                                                                        .put("key", "a"),
                                                        4);
                                    }
                                });
                callers[i].start();
            }
            String second = instances.awaitLeader(PATIENCE, first);
            try (StoreClient there = instances.client(second)) {
                put(there, "a", "2");
                double until = history.now() + 0.5;
                while (history.now() < until) {
                    Instances.sleep(0.02);
                }
                instances.goOn(first);
                callers[0].join();
                callers[1].join();
                assertTrue(
                        !late[0].isDone(), "a leader of the past carried out a change: " + late[0]);
                assertTrue(
                        !late[1].isDone() || value(late[1]).equals("2"),
                        "a leader of the past answered a read: " + late[1]);
                assertEquals(
                        value(there.call(StoreClient.newCall("get").put("key", "a"), PATIENCE)),
                        "2");
            }
        }
    }

    @Test
    public void twoPartitionsInARowEachWithTheLeaderInTheMinority() throws Exception {
        start(5, 5);
        try (StoreClient client = instances.client()) {
            String before = null;
            for (int i = 0; i < 2; i++) {
                put(client, "a", "before " + i);
                String leader = instances.awaitLeader(PATIENCE);
                String with =
                        instances.names().stream()
                                .filter(name -> !name.equals(leader))
                                .findFirst()
                                .orElseThrow();
                for (String one : new String[] {leader, with}) {
                    for (String other : instances.names()) {
                        if (!other.equals(leader) && !other.equals(with)) {
                            ways.cutBoth(one, other, true);
                        }
                    }
                }
                String next = instances.awaitLeader(PATIENCE, leader, with);
                put(client, "a", "after " + i);
                assertTrue(!next.equals(before) || i == 0);
                ways.clearAll();
                before = next;
            }
            assertEquals(
                    value(client.call(StoreClient.newCall("get").put("key", "a"), PATIENCE)),
                    "after 1");
            for (String name : instances.names()) {
                awaitApplied(name, 4);
            }
        }
    }

    @Test
    public void leaderThatHearsNobodyOrIsNotHeardStepsDown() throws Exception {
        start(3, 3);
        try (StoreClient client = instances.client()) {
            for (boolean heard : new boolean[] {true, false}) {
                String leader = instances.awaitLeader(PATIENCE);
                for (String other : instances.names()) {
                    if (!other.equals(leader)) {
                        ways.cut(
                                heard ? new Ways.Way(other, leader) : new Ways.Way(leader, other),
                                true);
                    }
                }
                instances.awaitLeader(PATIENCE, leader);
                put(client, "a", "heard " + heard);
                Patience patience = new Patience(PATIENCE);
                while (instances
                        .awaitStatus(leader, PATIENCE)
                        .path("role")
                        .asText()
                        .equals("leader")) {
                    assertTrue(!patience.over(), leader + " leads on");
                }
                ways.clearAll();
            }
        }
    }

    @Test
    public void followerWhoseLogIsGoneIsBroughtUpByASnapshot() throws Exception {
        start(3, 3);
        try (StoreClient client = instances.client()) {
            String leader = instances.awaitLeader(PATIENCE);
            String away =
                    instances.names().stream()
                            .filter(name -> !name.equals(leader))
                            .findFirst()
                            .orElseThrow();
            instances.kill(away);
            for (int i = 0; i < 600; i++) {
                put(client, "k" + i % 40, "v" + i);
            }
            instances.start(away);
            awaitApplied(away, 600);
            assertTrue(
                    Arrays.stream(instances.folder(away).toFile().list())
                            .anyMatch(name -> name.startsWith("snapshot-")));
        }
    }

    @Test
    public void majorityThatStartsWithEmptyFoldersByMistakeMakesNoGroupOfItsOwn() throws Exception {
        start(5, 5);
        try (StoreClient client = instances.client()) {
            put(client, "a", "1");
            for (int i = 2; i < 5; i++) {
                String name = instances.names().get(i);
                instances.kill(name);
                Instances.delete(instances.folder(name));
                instances.start(name);
            }
            StoreClient.Outcome outcome = client.call(StoreClient.newPut("a", "2", -1), 2.5);
            assertTrue(!outcome.isDone(), "two of five agreed: " + outcome);
            for (int i = 2; i < 5; i++) {
                assertEquals(
                        instances
                                .awaitStatus(instances.names().get(i), PATIENCE)
                                .path("last")
                                .asLong(),
                        0);
            }
            for (int i = 0; i < 2; i++) {
                assertTrue(
                        !instances
                                .awaitStatus(instances.names().get(i), PATIENCE)
                                .path("role")
                                .asText()
                                .equals("leader"));
            }
        }
    }

    @Test
    public void instanceOfAnotherGroupIsNotTakenIn() throws Exception {
        start(3, 2);
        String other = instances.names().get(2);
        instances.found(other);
        String leader = instances.awaitLeader(PATIENCE, other);
        try (StoreClient client = instances.client(leader)) {
            StoreClient.Outcome outcome =
                    client.call(
                            StoreClient.newCall("add")
                                    .put(
                                            "address",
                                            "127.0.0.1:" + instances.way(leader, other).getPort()),
                            3);
            assertTrue(outcome.text().contains("belongs to group"), outcome.toString());
            put(client, "a", "1");
        }
        assertEquals(instances.awaitStatus(leader, PATIENCE).path("members").size(), 2);
    }

    @Test
    public void instanceOfTheNextVersionWorksBesideTheOthersAndOneOfAnotherIsRefused()
            throws Exception {
        Path greeting = Path.of("..", "hosted/src/main/java/embershift/hosted/Handshake.java");
        try (Mutation next = new Mutation(greeting, "NEWEST_VERSION = 1;", "NEWEST_VERSION = 2;");
                Mutation other =
                        new Mutation(
                                greeting,
                                "OLDEST_VERSION = 1;\n    static final int NEWEST_VERSION = 1;",
                                "OLDEST_VERSION = 2;\n    static final int NEWEST_VERSION = 3;")) {
            instances = new Instances(folder, 3, ways, history, "");
            instances.classPath("i2", next.mutatedClassPath());
            instances.startAll();
            instances.form(3);
            try (StoreClient client = instances.client()) {
                put(client, "a", "1");
                instances.kill("i3");
                instances.classPath("i3", other.mutatedClassPath());
                instances.start("i3");
                put(client, "a", "2");
                assertTrue(
                        instances
                                .program("i3")
                                .await(
                                        text -> text.contains("versions 1 to") ? true : null,
                                        PATIENCE));
                assertTrue(instances.awaitStatus("i3", PATIENCE).path("revision").asLong() < 2);
            }
        }
    }

    /** As an operator starts them: by their own addresses, with no ways told. */
    @Test
    public void instancesFindEachOtherByTheAddressesThatTheyTell() throws Exception {
        instances = new Instances(folder, 0, ways, history, "");
        List<Program> programs = new ArrayList<>();
        List<String> addresses = new ArrayList<>();
        try {
            for (int i = 1; i <= 3; i++) {
                try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                    addresses.add("127.0.0.1:" + free.getLocalPort());
                }
                Path file = folder.resolve("n" + i + ".toml");
                Files.writeString(
                        file,
                        "name = \"n"
                                + i
                                + "\"\nfolder = \""
                                + folder.resolve("n" + i)
                                + "\"\nlisten = \""
                                + addresses.get(i - 1)
                                + "\"\n");
                Program program =
                        Program.java(
                                System.getProperty("java.class.path"),
                                List.of(
                                        "-XX:TieredStopAtLevel=1",
                                        "--add-exports",
                                        "java.base/sun.nio.ch=ALL-UNNAMED"),
                                "embershift.hosted.Main",
                                List.of("instance", "--installation", file.toString()),
                                Map.of(),
                                folder.resolve("n" + i + ".log"));
                programs.add(program);
                program.await(
                        text -> text.contains("\"message\":\"listening\"") ? true : null, PATIENCE);
            }
            try (StoreClient client =
                    new StoreClient(
                            addresses.stream()
                                    .map(
                                            each ->
                                                    new InetSocketAddress(
                                                            InetAddress.getLoopbackAddress(),
                                                            Integer.parseInt(each.split(":")[1])))
                                    .toList(),
                            "c")) {
                assertTrue(
                        StoreClient.callInstance(
                                        new InetSocketAddress(
                                                InetAddress.getLoopbackAddress(),
                                                Integer.parseInt(addresses.get(0).split(":")[1])),
                                        StoreClient.newCall("found"),
                                        PATIENCE)
                                .path("end")
                                .asText()
                                .equals("done"));
                for (int i = 1; i < 3; i++) {
                    StoreClient.Outcome added =
                            client.call(
                                    StoreClient.newCall("add").put("address", addresses.get(i)),
                                    PATIENCE);
                    assertTrue(added.isDone(), added.toString());
                }
                put(client, "a", "1");
                InetSocketAddress first =
                        new InetSocketAddress(
                                InetAddress.getLoopbackAddress(),
                                Integer.parseInt(addresses.get(0).split(":")[1]));
                for (Patience patience = new Patience(PATIENCE); ; Instances.sleep(0.02)) {
                    String status =
                            String.valueOf(
                                    StoreClient.callInstance(
                                            first, StoreClient.newCall("status"), 1));
                    if (status.split("\"role\":\"voter\"", -1).length == 4) {
                        break;
                    }
                    assertTrue(!patience.over(), status);
                }
                // Agreed without the first: the others have caught up, and vote.
                programs.get(0).kill();
                put(client, "a", "2");
            }
        } finally {
            programs.forEach(Program::kill);
        }
    }

    @Test
    public void leaderThatIsAskedToEndHandsOverFirst() throws Exception {
        start(3, 3);
        String leader = instances.awaitLeader(PATIENCE);
        instances.program(leader).terminate();
        assertTrue(instances.program(leader).awaitFor(PATIENCE));
        assertTrue(instances.program(leader).output().contains("\"message\":\"ended\""));
        assertTrue(
                instances.program(leader).output().contains("\"led\":false"),
                instances.program(leader).output());
        try (StoreClient client = instances.client()) {
            put(client, "a", "1");
        }
    }
}
