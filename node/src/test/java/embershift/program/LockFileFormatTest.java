package embershift.program;

import static org.testng.Assert.assertEquals;

import embershift.model.HostId;
import embershift.testing.GoldenSamples;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.testng.annotations.Test;

/**
 * The files by which two processes at one address see each other stay as earlier versions write and
 * read them.
 */
public class LockFileFormatTest {

    private static final String GOLDEN = "lock-file.txt";

    private static SiblingProcesses at(Path folder, String deployment) {
        return SiblingProcesses.open(folder.toString(), "127.0.0.1:18000", deployment, line -> {});
    }

    @Test
    public void filesAreAsBefore() throws Exception {
        Path folder = Files.createTempDirectory("lock");
        SiblingProcesses first = at(folder, "tiers in areas");
        first.claimSlot();
        first.exchange(new SiblingProcesses.ProcessStatus(77, 1.5));
        first.change(new HostId("h1"), true, List.of(), () -> true);
        first.change(new HostId("h2"), true, List.of(), () -> true);
        GoldenSamples samples = new GoldenSamples();
        List<Path> files = new ArrayList<>();
        try (var all = Files.list(folder)) {
            files.addAll(new TreeSet<>(all.toList()));
        }
        for (Path file : files) {
            samples.bytes(file.getFileName().toString(), Files.readAllBytes(file));
        }
        samples.assertMatch(getClass(), GOLDEN);
        assertEquals(
                List.copyOf(at(folder, "tiers in areas").read()),
                List.of(new HostId("h1"), new HostId("h2")));
    }
}
