package embershift;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
import java.util.Map;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * {@code deploy/acceptance.sh} with a stand-in for the operators' kit, whose bench notes what it is
 * called with.
 */
public class AcceptanceTest {

    private static final String SCRIPT = "deploy/acceptance.sh";
    private static final String OURS = "deploy/sites/tide-gauges.toml";
    private static final Map<String, String> KIT = Map.of("EMBERSHIFT_KIT", "kit");

    private Tree tree;

    @BeforeMethod
    public void begin() throws IOException {
        tree = new Tree();
        for (String file : List.of(SCRIPT, "deploy/sites/lay.sh", OURS)) {
            tree.copy(file);
        }
        assertTrue(tree.root.resolve("deploy/sites/lay.sh").toFile().setExecutable(true));
        tree.program(
                "kit/more/mass/bin/lbreal",
                "echo \"$*\" >>calls\necho 'score of the real nodes 0.5'\necho 'GATE passed'\n");
        for (String file : List.of("real.json", "wire.json", "unlock.txt")) {
            tree.write("kit/more/mass/other/" + file, "");
        }
    }

    @AfterMethod
    public void end() throws IOException {
        tree.close();
    }

    private List<String> calls() throws IOException {
        return Files.readAllLines(tree.root.resolve("calls"));
    }

    @Test
    public void sideFilesOfTheSitesHereAreLaidAndEachPanelIsCalled() throws Exception {
        for (String panel : List.of("brink", "quick", "all")) {
            Tree.Ended ended = tree.run(KIT, SCRIPT, OURS, panel, "3");
            assertEquals(ended.status(), 0, ended.text());
            assertTrue(
                    ended.text().contains("| tide-gauges | " + panel + " | 3 | passed | 0.5 |"),
                    ended.text());
        }
        String end = " --seed 3 --why acceptance: %s days, as main stands, seed 3";
        assertEquals(
                calls(),
                List.of(
                        "score " + OURS + " --panel brink" + end.formatted("brink"),
                        "score " + OURS + " --quick" + end.formatted("quick"),
                        "score " + OURS + end.formatted("all")));
        assertTrue(Files.exists(tree.root.resolve("deploy/sites/unlock.txt")));
    }

    @Test
    public void fileThatIsMissingBesideASiteIsNamedAndNothingIsPlayed() throws Exception {
        tree.write("elsewhere/site.toml", "");
        tree.write("elsewhere/real.json", "");
        assertEquals(
                tree.run(KIT, SCRIPT, "elsewhere/site.toml", "brink", "3"),
                new Tree.Ended(
                        2,
                        "acceptance: no wire.json beside elsewhere/site.toml, where the bench looks for it\n"));
        Files.delete(tree.root.resolve("kit/more/mass/other/unlock.txt"));
        assertEquals(
                tree.run(KIT, SCRIPT, OURS, "brink", "3"),
                new Tree.Ended(2, "lay: no kit/more/mass/other/unlock.txt: the kit is not here\n"));
        assertFalse(Files.exists(tree.root.resolve("calls")));
    }

    @Test
    public void processorsGoToTheBenchAndWrongOnesAreRefused() throws Exception {
        assertEquals(
                tree.run(
                                Map.of("EMBERSHIFT_KIT", "kit", "EMBERSHIFT_BENCH_CPUS", "0,1"),
                                SCRIPT,
                                OURS,
                                "quick",
                                "-")
                        .status(),
                0);
        assertTrue(
                calls().get(0).startsWith("score " + OURS + " --quick --cpus 0,1 --why "),
                calls().toString());
        Tree.Ended ended =
                tree.run(
                        Map.of("EMBERSHIFT_KIT", "kit", "EMBERSHIFT_BENCH_CPUS", "0-1"),
                        SCRIPT,
                        OURS,
                        "quick",
                        "-");
        assertEquals(
                ended,
                new Tree.Ended(
                        2, "acceptance: EMBERSHIFT_BENCH_CPUS is '0-1': wanted as 0,1,2,3\n"));
    }

    /**
     * As under nohup: no node would hear of a new configuration, and each day with one would look
     * like a broken rule.
     */
    @Test
    public void nothingIsPlayedWhereNodesWouldNotHearTheSignalToReload() throws Exception {
        tree.write("ignoring.sh", "trap '' HUP\nexec bash " + SCRIPT + " \"$@\"\n");
        Tree.Ended ended = tree.run(KIT, "ignoring.sh", OURS, "brink", "3");
        assertEquals(
                ended,
                new Tree.Ended(
                        2,
                        "acceptance: SIGHUP is ignored here, as under nohup: nodes would not hear of a new configuration\n"));
        assertFalse(Files.exists(tree.root.resolve("calls")));
    }
}
