package embershift.rig;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import embershift.door.TomlSettings;
import embershift.rig.scale.Scale;
import embershift.rig.scale.ScalingGuard;
import java.io.IOException;
import java.net.URLClassLoader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * How costs grow, as ratios within one run; and that what would make one grow faster is seen.
 * docs/CAPACITY.md.
 */
public class ScaleTest {

    @DataProvider
    public static Object[] parts() {
        return ScalingGuard.parts().toArray();
    }

    /**
     * In a process of its own, with the collector and the compiler by which {@code rig scale}
     * measures: in this one, worlds were played before, minutes of them, by the same classes.
     */
    @Test(dataProvider = "parts")
    public void costsGrowNoFasterThanTheyDid(String part) throws IOException, InterruptedException {
        Process guard =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "--add-exports",
                                "java.base/sun.nio.ch=ALL-UNNAMED",
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "-cp",
                                System.getProperty("java.class.path"),
                                ScalingGuard.class.getName(),
                                part)
                        .redirectErrorStream(true)
                        .start();
        String said = new String(guard.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(guard.waitFor(), 0, said);
    }

    /** Part, source, text in it, and what makes it grow by one power more. */
    @DataProvider
    public static Object[][] mistakes() {
        return new Object[][] {
            {
                "module",
                "core/src/main/java/embershift/policy/Policy.java",
                "reporting.stream().mapToDouble(host -> host.reportedLoad).sum();",
                "reporting.stream().mapToDouble(host -> host.reportedLoad + 0 * hostsByName.stream().flatMap(other -> "
                        + "java.util.stream.Stream.of(other, other, other, other)).mapToDouble(this::drawLoad).sum()).sum();"
            },
            {
                "rollout",
                "fleet/src/main/java/embershift/fleet/rollout/ConfigRollout.java",
                "ManagedNode node = each.getValue(); NodeState state = stateOf(name);",
                "ManagedNode node = each.getValue(); NodeState state = nodes.keySet().stream().filter(other -> stateOf(other) == null).count() > 0 ? null "
                        + ": stateOf(name);"
            },
            {
                "lists",
                "node/src/main/java/embershift/protocol/RosterUpdate.java",
                "entries.add(entry);",
                "entries.add(entry);\n                entries.toString();"
            },
            {
                "record",
                "fleet/src/main/java/embershift/fleet/store/KeyValueStore.java",
                "long total = totalChars;",
                "long total = keyValues.values().stream().mapToLong(KeyValueStore::size).sum();"
            }
        };
    }

    @Test(dataProvider = "mistakes")
    public void whatMakesACostGrowFasterIsSeen(String part, String source, String from, String to)
            throws IOException, ReflectiveOperationException {
        try (Mutation mutation = new Mutation(Path.of("..").resolve(source), from, to);
                URLClassLoader loader = mutation.loader()) {
            Object seen =
                    loader.loadClass("embershift.rig.scale.ScalingGuard")
                            .getMethod("firstTooSteep", String.class)
                            .invoke(null, part);
            assertNotNull(seen);
        }
    }

    private static String refusal(String text) throws IOException {
        Path file = Files.createTempFile("scale", ".toml");
        try {
            Files.writeString(file, text);
            return expectThrows(
                            TomlSettings.InvalidSettingsException.class,
                            () -> Scale.run(file, false, null))
                    .getMessage()
                    .replace(file.toString(), "FILE");
        } finally {
            Files.delete(file);
        }
    }

    private static final String SIZE =
            """
            name = "a"
            [size]
            nodes = 2100
            hosts = 2000
            connections = 41400
            lifetime-s = 600
            groups = 1000000
            listeners = 360000
            """;

    @Test
    public void aFileIsRefusedWholeInOneLine() throws IOException {
        assertTrue(refusal(SIZE).startsWith("FILE: nothing is to be measured"));
        for (String wrong :
                new String[] {
                    SIZE + "[modul]\nhosts = [100]",
                    SIZE + "[module]\nhosts = [0]",
                    SIZE + "[module]\nhosts = []",
                    SIZE + "[rollout]\nnodes = [10, 10]",
                    SIZE + "[hollow]\nnodes = [10]\ninstances = 9",
                    "name = \"a\"",
                    "name = ",
                    SIZE + "[hollow]\nnodes = [281]\nreal = true"
                }) {
            String why = refusal(wrong);
            assertTrue(why.startsWith("FILE:"), why);
            assertEquals(why.lines().count(), 1, why);
        }
    }
}
