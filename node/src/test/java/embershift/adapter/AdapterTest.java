package embershift.adapter;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class AdapterTest {

    private static final String SPAWN =
            ""
                    + "SPAWN 3 42 balancers=1 az=a discovery=automatic limits.may-probe=false"
                    + " limits.may-cancel=true limits.may-duplicate=false limits.most-setups=3"
                    + " limits.retry-after=true"
                    + " limits.max-retry-after-s=1.5 rules.drain-grace-s=1 rules.cold-from=0.3 rules.warm-after-s=8"
                    + " rules.fall-multiple=3 rules.fall-s=2 unheard.of=1 profiles.count=1 profiles.0.name=p"
                    + " profiles.0.repeat=idempotent profiles.0.setup-goal-s=0.5 profiles.0.client-timeout-s=2";
    private static final String LISTED =
            "REGISTER 0 1\nITEM Ready h:1 k a 1 0 -\nSYNC 3 0 warm_copy 1";
    private static final String TUNNEL = "ACCEPT 3 t1 p - - 2 - - 0 0 0";

    private static String run(String... lines) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        byte[] in = String.join("\n", lines).concat("\n").getBytes(StandardCharsets.UTF_8);
        new Adapter(new ByteArrayInputStream(in), out, new PrintStream(new ByteArrayOutputStream()))
                .run();
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    public void replyToAnEmptyBatchHasItsNumber() throws IOException {
        assertEquals(run("BEGIN_BATCH 8.4 7", "COMMIT"), "DONE 7\n");
    }

    @Test
    public void tunnelIsSentToTheHostListed() throws IOException {
        String reply = run("BEGIN_BATCH 8.4 1", SPAWN, LISTED, TUNNEL, "COMMIT");
        assertTrue(reply.startsWith("HAND_OFF 3 t1 h:1 1.500000\n"), reply);
        assertTrue(reply.endsWith("DONE 1\n"), reply);
    }

    @Test
    public void setupBeyondTheBudgetIsDeclinedAtOnce() throws IOException {
        String reply =
                run(
                        "BEGIN_BATCH 8.4 1",
                        SPAWN + " rules.extra-free=0 rules.repeat-ratio=0.5 rules.resend-span-s=2",
                        LISTED,
                        TUNNEL,
                        "COMMIT",
                        "BEGIN_BATCH 8.5 2",
                        "REPORT_BACK 3 t1 0 h:1 8 0.1 0 -",
                        "COMMIT");
        assertTrue(reply.contains("BOUNCE 3 t1 "), reply);
    }

    @Test
    public void listNumbersAreReadInTheOrderOfTheLines() throws IOException {
        String reply =
                run(
                        "BEGIN_BATCH 8.4 1",
                        SPAWN,
                        LISTED,
                        "REGISTER 0 1",
                        "ITEM Gone h:1 k a 1 0 -",
                        TUNNEL,
                        "COMMIT");
        assertTrue(reply.startsWith("HAND_OFF 3 t1 h:1"), reply);
    }

    @Test
    public void removedInstanceMakesNoDecisions() throws IOException {
        assertEquals(
                run("BEGIN_BATCH 8.4 1", SPAWN, LISTED, TUNNEL, "TEARDOWN 3", "COMMIT"),
                "DONE 1\n");
    }

    @DataProvider
    public Object[][] malformedLines() {
        return new Object[][] {
            {"NONSENSE 3", "message"},
            {"SYNC 3 5 total 1", "table"},
            {"ACCEPT 3 t1", "category"},
            {"ACCEPT 3 t1 p - - soon - - 0 0 0", "left-s"},
            {"SPAWN 3 42 balancers=1", "profiles.count"},
            {SPAWN + " rules.extra-free=3", "rules.repeat-ratio"},
            {
                SPAWN + " rules.extra-free=3 rules.repeat-ratio=much rules.resend-span-s=2",
                "rules.repeat-ratio"
            },
            {
                SPAWN + " rules.extra-free=-3 rules.repeat-ratio=0 rules.resend-span-s=2",
                "rules.extra-free"
            },
            {
                SPAWN + " rules.extra-free=3 rules.repeat-ratio=0 rules.resend-span-s=NaN",
                "rules.resend-span-s"
            },
            {"REPORT_BACK 3 t1 0 h:1 99 0.1 1 -", "verdict"},
            {"PEER_DATA 3 1 %%", "content"}
        };
    }

    @Test(dataProvider = "malformedLines")
    public void errorNamesTheLineAndTheField(String line, String field) {
        MalformedLineException thrown =
                expectThrows(
                        MalformedLineException.class, () -> run("BEGIN_BATCH 1 1", line, "COMMIT"));
        String message = thrown.getMessage();
        assertTrue(message.startsWith("line 2: ") && message.contains(field), message);
    }

    @Test
    public void exceptionIsWrittenOnOneLine() {
        StringBuilder reply = new StringBuilder();
        new DecisionWriter(5, reply).exception(new IllegalStateException("two\nlines"));
        assertEquals(reply.toString(), "EXCEPTION 5 java.lang.IllegalStateException: two lines\n");
    }

    @Test
    public void secondsAreRoundedUpToMicroseconds() {
        StringBuilder reply = new StringBuilder();
        new DecisionWriter(5, reply).wakeAfter(0.0000125);
        assertEquals(reply.toString(), "WAKE_ME 5 0.000013 0\n");
    }
}
