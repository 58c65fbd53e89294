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
 * The files by which two processes at one address see each other, the lock file and the lists of
 * ejected hosts, keep the names and formats in which earlier versions write and read them.
 */
public class LockFileFormatTest {

    private static final String GOLDEN_FILE = "lock-file.txt";

    private static SiblingProcesses openSiblings(Path folder, String deployment) {
        return SiblingProcesses.open(folder.toString(), "127.0.0.1:18000", deployment, line -> {});
    }

    @Test
    public void filesKeepTheirNamesAndFormats() throws Exception {
        Path folder = Files.createTempDirectory("lock");
        SiblingProcesses first = openSiblings(folder, "tiers in areas");
        first.claimSlot();
        first.exchange(new SiblingProcesses.ProcessStatus(77, 1.5));
        first.change(new HostId("h1"), true, List.of(), () -> true);
        first.change(new HostId("h2"), true, List.of(), () -> true);
        GoldenSamples samples = new GoldenSamples();
        List<Path> files = new ArrayList<>();
        try (var listing = Files.list(folder)) {
            files.addAll(new TreeSet<>(listing.toList()));
        }
        for (Path file : files) {
            samples.bytes(file.getFileName().toString(), Files.readAllBytes(file));
        }
        samples.assertMatch(getClass(), GOLDEN_FILE);
        assertEquals(
                List.copyOf(openSiblings(folder, "tiers in areas").read()),
                List.of(new HostId("h1"), new HostId("h2")));
    }
}
