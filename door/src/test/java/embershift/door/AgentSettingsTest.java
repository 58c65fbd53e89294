package embershift.door;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.file.Path;
import org.testng.annotations.Test;

/** What an operator may set for an agent, right and wrong. */
public class AgentSettingsTest {

    private static final String LEAST = "instances = [\"127.0.0.1:7101\"]\n";

    @Test
    public void fileThatCannotBeUsedIsRefusedInOneLineThatNamesTheKey() throws Exception {
        assertEquals(AgentSettings.read(LEAST, "x").stalePolicy(), AgentSettings.StalePolicy.SERVE);
        assertEquals(
                AgentSettings.read(LEAST + "stale = \"leave\"\n", "x").stalePolicy(),
                AgentSettings.StalePolicy.LEAVE);
        String[][] wrong = {
            {"more = 1\n", "more"},
            {"report-s = 0\n", "report-s"},
            {"stale = \"sulk\"\n", "stale"},
            {"oldest-order-s = 0.5\n", "oldest-order-s"},
            {"trail-entries = 1\n", "trail-entries"},
            {"instances = []\n", "Duplicate"},
            {"alone-s", ""}
        };
        for (String[] each : wrong) {
            refused(LEAST + each[0], each[1]);
        }
        refused("instances = []\n", "instances");
        refused("instances = [\"nowhere\"]\n", "instances");
        refused("instances = [\"127.0.0.1:70000\"]\n", "65535");
        refused("", "instances");
    }

    private static void refused(String text, String key) {
        String message =
                expectThrows(
                                TomlSettings.InvalidSettingsException.class,
                                () -> AgentSettings.read(text, "x"))
                        .getMessage();
        assertTrue(
                message.startsWith("x") && message.contains(key) && !message.contains("\n"),
                message);
    }

    @Test
    public void exampleIsSound() throws Exception {
        assertEquals(
                AgentSettings.read(Path.of("..", "deploy", "door.toml")).instances().size(), 3);
    }
}
