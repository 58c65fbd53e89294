package embershift.rig;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import embershift.rig.process.FirstDiscovery;
import embershift.rig.process.Instances;
import embershift.rig.process.Schedule;
import embershift.rig.process.Starts;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/**
 * Nodes as processes that start together while discovery does what it should not. How long it takes
 * is the command's to tell.
 */
public class StartsTest {

    @Test
    public void allAreReadyWhateverDiscoveryDoesAlsoWhenStartedAnewAtTheSameAddresses()
            throws Exception {
        Path folder = Files.createTempDirectory("rig");
        List<String> line =
                List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-Xmx96m",
                        "-XX:TieredStopAtLevel=1",
                        "--add-exports",
                        "java.base/sun.nio.ch=ALL-UNNAMED",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "embershift.program.Main",
                        "serve");
        // The others are played by the node's own tests.
        List<FirstDiscovery.Kind> kinds =
                List.of(
                        FirstDiscovery.Kind.SOUND,
                        FirstDiscovery.Kind.REFUSED,
                        FirstDiscovery.Kind.SLOW);
        List<Starts.Start> all = new ArrayList<>();
        try (Starts starts = new Starts(folder, line, kinds.size(), 5, kinds)) {
            all.addAll(starts.round());
            all.addAll(starts.round());
        }
        assertEquals(all.size(), 2 * kinds.size());
        Set<FirstDiscovery.Kind> reached = EnumSet.noneOf(FirstDiscovery.Kind.class);
        for (Starts.Start start : all) {
            assertTrue(
                    start.answered() >= start.ready() && start.processor() > 0,
                    start + ", what is left: " + folder);
            reached.add(start.discovery());
        }
        assertEquals(reached.size(), kinds.size());
        Instances.delete(folder);
    }

    @Test
    public void lineThatStartsANodeIsThePlatforms() throws Exception {
        assertTrue(
                Starts.platforms(Path.of("..", "deploy", "balancer.toml"))
                        .contains("embershift.jar serve"));
        Path file = Files.createTempFile("rig", ".toml");
        for (String wrong : List.of("run = ", "build = \"x\"")) {
            Files.writeString(file, wrong);
            String message =
                    expectThrows(Schedule.Unreadable.class, () -> Starts.platforms(file))
                            .getMessage();
            assertTrue(message.startsWith(file.toString()) && !message.contains("\n"), message);
        }
        Files.delete(file);
    }
}
