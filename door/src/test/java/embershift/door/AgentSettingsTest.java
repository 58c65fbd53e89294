package embershift.door;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.file.Path;
import org.testng.annotations.Test;

/** Valid and invalid settings of an agent. */
public class AgentSettingsTest {

    private static final String MINIMAL_SETTINGS = "instances = [\"127.0.0.1:7101\"]\n";

    @Test
    public void invalidFileIsRejectedInOneLineThatNamesTheKey() throws Exception {
        assertEquals(
                AgentSettings.read(MINIMAL_SETTINGS, "x").stalePolicy(),
                AgentSettings.StalePolicy.SERVE);
        assertEquals(
                AgentSettings.read(MINIMAL_SETTINGS + "stale = \"leave\"\n", "x").stalePolicy(),
                AgentSettings.StalePolicy.LEAVE);
        String[][] invalidSettings = {
            {"more = 1\n", "more"},
            {"report-s = 0\n", "report-s"},
            {"stale = \"sulk\"\n", "stale"},
            {"oldest-order-s = 0.5\n", "oldest-order-s"},
            {"trail-entries = 1\n", "trail-entries"},
            {"instances = []\n", "Duplicate"},
            {"alone-s", ""}
        };
        for (String[] each : invalidSettings) {
            assertRejected(MINIMAL_SETTINGS + each[0], each[1]);
        }
        assertRejected("instances = []\n", "instances");
        assertRejected("instances = [\"nowhere\"]\n", "instances");
        assertRejected("instances = [\"127.0.0.1:70000\"]\n", "65535");
        assertRejected("", "instances");
    }

    private static void assertRejected(String text, String key) {
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
    public void exampleFileIsValid() throws Exception {
        assertEquals(
                AgentSettings.read(Path.of("..", "deploy", "door.toml")).instances().size(), 3);
    }
}
