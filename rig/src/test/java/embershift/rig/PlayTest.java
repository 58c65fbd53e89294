package embershift.rig;

import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import embershift.rig.process.Instances;
import embershift.rig.process.Play;
import embershift.rig.process.Schedule;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Schedules with real processes; those that a hunt found stand here as files. */
public class PlayTest {

    @DataProvider
    public Object[][] schedules() {
        return new Object[][] {{"leaders-end"}, {"one-way"}, {"disks"}};
    }

    @Test(dataProvider = "schedules")
    public void nothingAnsweredIsLostOrDoneTwice(String name) throws Exception {
        Path folder = Files.createTempDirectory("rig");
        Play.Report report =
                Play.play(Schedule.read(Path.of("schedules", name + ".toml")), 1, folder);
        assertNull(report.broken(), report + ", what is left: " + folder);
        Instances.delete(folder);
    }

    @Test
    public void scheduleThatCannotBePlayedIsRefusedInOneLine() throws Exception {
        Path file = Files.createTempFile("schedule", ".toml");
        for (String wrong :
                new String[] {
                    "lasts = ",
                    "lasts = 1\ninstances = 3\nclients = 1\nmore = 2",
                    "lasts = 1\ninstances = 3\nclients = 1\n[[fault]]\nat = 0\nlasts = 1\nwhat = \"cut\"\nwhom = \"i7\"",
                    "lasts = 1\ninstances = 3\nclients = 1\n[[fault]]\nat = 5\nlasts = 1\nwhat = \"cut\"\nwhom = \"i1\"",
                    "lasts = 0\ninstances = 3\nclients = 1"
                }) {
            Files.writeString(file, wrong);
            String message =
                    expectThrows(Schedule.Unreadable.class, () -> Schedule.read(file)).getMessage();
            assertTrue(message.startsWith(file.toString()) && !message.contains("\n"), message);
        }
        Schedule drawn = Schedule.drawn(3, 5, 3, 2);
        Files.writeString(file, drawn.text());
        assertTrue(Schedule.read(file).fault().size() == drawn.fault().size());
        Files.delete(file);
    }
}
