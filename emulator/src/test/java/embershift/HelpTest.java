package embershift;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What each program says of itself and of its commands, and to what it doesn't know. */
public class HelpTest {

    private interface Line {
        int run(String[] words) throws Exception;
    }

    private record Said(int status, String out, String err) {}

    private static Said say(Line line, Stream<String> words) throws Exception {
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream told = new ByteArrayOutputStream();
        ByteArrayOutputStream wrong = new ByteArrayOutputStream();
        System.setOut(new PrintStream(told, true, StandardCharsets.UTF_8));
        System.setErr(new PrintStream(wrong, true, StandardCharsets.UTF_8));
        try {
            int status = line.run(words.toArray(String[]::new));
            return new Said(
                    status,
                    told.toString(StandardCharsets.UTF_8),
                    wrong.toString(StandardCharsets.UTF_8));
        } finally {
            System.setOut(out);
            System.setErr(err);
        }
    }

    /** Each program, the words before its commands, and these. */
    @DataProvider
    public Object[][] programs() {
        return new Object[][] {
            {
                "node",
                (Line) embershift.program.Main::run,
                List.of(),
                List.of("adapter", "check", "rehearse", "serve", "version")
            },
            {"door", (Line) embershift.door.Main::run, List.of(), List.of("check", "serve")},
            {
                "hosted",
                (Line) embershift.hosted.Main::run,
                List.of(),
                List.of("check", "fleet", "instance")
            },
            {
                "fleet",
                (Line) embershift.hosted.Main::run,
                List.of("fleet"),
                List.of(
                        "add",
                        "audit",
                        "delete",
                        "duties",
                        "duty-transfer",
                        "floor",
                        "forget",
                        "found",
                        "get",
                        "let-in",
                        "list",
                        "members",
                        "nodes",
                        "put",
                        "release",
                        "remove",
                        "revise",
                        "revisions",
                        "shut-out",
                        "status",
                        "transfer",
                        "watch")
            },
            {
                "rig",
                (Line) embershift.rig.Main::run,
                List.of(),
                List.of(
                        "fleets",
                        "hunt",
                        "hunt-fleet",
                        "measure",
                        "measure-fleet",
                        "play",
                        "starts",
                        "worlds")
            },
            {
                "emulator",
                (Line) embershift.emulator.Main::run,
                List.of(),
                List.of("check", "compare", "hunt", "report", "run", "sweep")
            },
        };
    }

    @Test(dataProvider = "programs")
    public void programTellsItsCommandsAndEachCommandItsOptions(
            String name, Line line, List<String> before, List<String> commands) throws Exception {
        Said all = say(line, Stream.concat(before.stream(), Stream.of("--help")));
        assertEquals(all.status(), 0, all.err());
        // A command's own line begins with its name, four in.
        List<String> told =
                new ArrayList<>(
                        all.out()
                                .lines()
                                .map(each -> each.replaceFirst("^ {4}(\\S+).*", "$1"))
                                .toList());
        told.retainAll(commands);
        assertEquals(told.stream().distinct().sorted().toList(), commands, all.out());
        for (String command : commands) {
            Said one = say(line, Stream.concat(before.stream(), Stream.of(command, "--help")));
            assertEquals(one.status(), 0, command + ": " + one.err());
            assertTrue(
                    one.out().startsWith("Usage: ")
                            && one.out().contains(command)
                            && one.err().isEmpty(),
                    one.out());
        }
    }

    @Test(dataProvider = "programs")
    public void whatIsUnknownIsToldInOneLineWithStatusTwo(
            String name, Line line, List<String> before, List<String> commands) throws Exception {
        List<List<String>> wrong =
                new ArrayList<>(List.of(List.of(), List.of("nonsense"), List.of("--nonsense")));
        commands.stream()
                .filter(command -> !command.equals("fleet"))
                .forEach(command -> wrong.add(List.of(command, "--nonsense")));
        for (List<String> words : wrong) {
            Said said = say(line, Stream.concat(before.stream(), words.stream()));
            assertEquals(said.status(), 2, words + ": " + said.out());
            assertEquals(said.err().lines().count(), 1, words + ": " + said.err());
        }
    }
}
