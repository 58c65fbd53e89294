package embershift.emulator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import embershift.emulator.day.Day;
import embershift.emulator.day.DayReader;
import embershift.emulator.day.DayWriter;
import embershift.emulator.day.UnreadableDay;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class DayReaderTest {

    private static final DayReader READER = new DayReader();

    private static String wrong(String text) {
        return org.testng.Assert.expectThrows(
                        UnreadableDay.class, () -> READER.read(text, "d.toml", Map.of()))
                .getMessage();
    }

    @DataProvider
    public Object[][] wrongDays() {
        return new Object[][] {
            {"name = \"x\"\n[fleet]\nnods = 3\n", "d.toml:3: fleet.nods: ", "nods"},
            {
                "name = \"x\"\n\n[network]\nbetween = \"5 ms\"\n",
                "d.toml:4: network.between: ",
                "array"
            },
            {"lasts = \"60 s\"\n", "d.toml:1: lasts: ", "number"},
            {"[network]\nwithin = [0.001, 5.0]\n", "d.toml:2: network.within", "2"},
            {
                "[[profile]]\nname = \"a\"\nshare = 0.4\n[[profile]]\nname = \"b\"\nshare = 0.4\n",
                "d.toml:3: profile.0.share: ",
                "must be 1, not 0.8"
            },
            {
                "[[participant]]\nname = \"a\"\nshare = 1.4\n",
                "d.toml:3: participant.0.share: ",
                "1"
            },
            {
                "[[trouble]]\nwhat = \"crash\"\nwhom = \"hosts zone nowhere\"\n",
                "d.toml:3: trouble.0.whom: ",
                "aimed at nobody: there is no zone nowhere"
            },
            {
                "[[trouble]]\nwhat = \"crash\"\nwhom = \"hosts named h2,h12\"\n",
                "d.toml:3: trouble.0.whom: ",
                "nobody"
            },
            {
                "[[trouble]]\nwhat = \"crash\"\nwhom = \"hosts share 0\"\n",
                "d.toml:3: trouble.0.whom: ",
                "no part of 1"
            },
            {
                "[[trouble]]\nwhat = \"slow\"\nwhom = \"nodes\"\n",
                "d.toml:3: trouble.0.whom: ",
                "befalls hosts, not nodes"
            },
            {
                "[[trouble]]\nwhat = \"slow\"\nwhom = \"hosts\"\ntimes = 3\n",
                "d.toml:4: trouble.0.times: ",
                "every"
            },
            {
                "lasts = 10.0\n[[trouble]]\nwhat = \"slow\"\nwhom = \"hosts\"\nat = 11.0\n",
                "d.toml:5: trouble.0.at: ",
                "ends at 10"
            },
            {
                "[[trouble]]\nwhat = \"melt\"\nwhom = \"hosts\"\n",
                "d.toml:2: trouble.0.what: ",
                "crash"
            },
            {"[fleet\nnodes = 3\n", "d.toml:", ""},
        };
    }

    @Test(dataProvider = "wrongDays")
    public void whatIsWrongIsOneLineWithFileLineAndKey(String text, String start, String part) {
        String message = wrong(text);
        assertTrue(message.startsWith(start), message);
        assertTrue(message.contains(part), message);
        assertEquals(message.lines().count(), 1);
    }

    @Test
    public void whatAFileLeavesOutIsAsUsual() throws UnreadableDay {
        Day day =
                READER.read(
                        "[[profile]]\nname = \"bid\"\ngoal = 0.3\n[traffic]\nload = 0.7\n",
                        "d.toml",
                        Map.of());
        assertEquals(day.profile().get(0).goal(), 0.3);
        assertEquals(day.profile().get(0).patience(), 3.2);
        assertEquals(day.traffic().load(), 0.7);
        assertEquals(day.traffic().perCore(), 25.0);
        assertTrue(day.trouble().isEmpty());
    }

    @Test
    public void changesTakeThePlaceOfWhatTheFileSays() throws UnreadableDay {
        String text = "[[trouble]]\nwhat = \"slow\"\nwhom = \"hosts\"\n";
        Day day =
                READER.read(
                        text,
                        "d.toml",
                        Map.of("traffic.load", "0.9", "trouble.0.at", "7.5", "host.drain", "kept"));
        assertEquals(day.traffic().load(), 0.9);
        assertEquals(day.trouble().get(0).at(), 7.5);
        assertEquals(day.host().drain(), Day.Drain.KEPT);
        assertThrows(
                UnreadableDay.class,
                () -> READER.read(text, "d.toml", Map.of("trouble.1.at", "7")));
        assertThrows(
                UnreadableDay.class,
                () -> READER.read(text, "d.toml", Map.of("traffic.lod", "7.0")));
    }

    @Test
    public void aDayThatIsWrittenReadsTheSame() throws UnreadableDay {
        String text =
                """
                name = "x"
                [fleet]
                zones = ["a", "b"]
                nodes = 2
                [[trouble]]
                what = "cut"
                whom = "hosts zone a"
                peer = "nodes zone b"
                at = 3.5
                [[trouble]]
                what = "pause"
                whom = "nodes"
                """;
        String written = DayWriter.write(READER.tree(text, "d.toml"));
        Day one = READER.read(text, "d.toml", Map.of());
        Day other = READER.read(written, "d.toml", Map.of());
        assertEquals(other.trouble(), one.trouble());
        assertEquals(other.fleet(), one.fleet());
    }

    @Test
    public void theDaysOfThisRepositoryAreSound() throws IOException, UnreadableDay {
        try (Stream<Path> files = Files.list(Path.of("days"))) {
            List<Path> all = files.sorted().toList();
            assertTrue(all.size() >= 9);
            for (Path file : all) {
                assertTrue(READER.read(file, Map.of()).lasts() > 0);
            }
        }
    }
}
