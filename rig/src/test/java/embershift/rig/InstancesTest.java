package embershift.rig;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import embershift.hosted.RecordClient;
import embershift.rig.history.History;
import embershift.rig.process.Instances;
import embershift.rig.process.Ways;
import org.testng.ITestResult;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

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
        instances = new Instances(folder, many, ways, history, "[bounds]\nsnapshot-entries = 200\ntrail-entries = 50\n");
        instances.startAll();
        instances.form(voters);
    }

    private static String value(RecordClient.Outcome outcome) {
        assertTrue(outcome.done(), outcome.end() + ": " + outcome.text());
        return outcome.answer().path("items").path(0).path("value").asText("(none)");
    }

    private static void put(RecordClient client, String key, String value) {
        RecordClient.Outcome outcome = client.ask(RecordClient.put(key, value, -1), PATIENCE);
        assertTrue(outcome.done(), outcome.end() + ": " + outcome.text());
    }

    private void awaitApplied(String name, long revision) {
        for (long until = System.nanoTime() + (long) (PATIENCE * 1e9); ; Instances.sleep(0.02)) {
            var status = instances.status(name);
            if (status != null && status.path("revision").asLong() >= revision) {
                return;
            }
            assertTrue(System.nanoTime() < until, name + " has not caught up: " + status);
        }
    }

    @Test
    public void leaderThatIsKilledIsFollowedByAnotherThatHasAllAndCatchesUpWhenItIsBack() throws Exception {
        start(3, 3);
        try (RecordClient client = instances.client()) {
            put(client, "a", "1");
            String first = instances.awaitLeader(PATIENCE);
            double killed = history.now();
            instances.kill(first);
            String second = instances.awaitLeader(PATIENCE, first);
            history.event("leads after", second, String.valueOf(history.now() - killed));
            assertTrue(history.now() - killed < PATIENCE);
            assertEquals(value(client.ask(RecordClient.call("get").put("key", "a"), PATIENCE)), "1");
            put(client, "a", "2");
            instances.start(first);
            awaitApplied(first, 2);
        }
    }
}
