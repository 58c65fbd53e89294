package embershift.emulator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import embershift.emulator.day.DayReader;
import embershift.emulator.experiment.Comparison;
import embershift.emulator.experiment.Hunt;
import embershift.emulator.experiment.Sweep;
import embershift.emulator.report.Report;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

public class ExperimentTest {

    private static final DayReader READER = new DayReader();
    private static final String DAY = "name = \"x\"\nlasts = 10.0\n[fleet]\nnodes = 2\nhosts = 4\n";

    private static Path file() throws IOException {
        Path file = Files.createTempDirectory("emulator").resolve("day.toml");
        Files.writeString(file, DAY);
        return file;
    }

    private static Sweep sweep(Path file) throws Exception {
        Map<String, List<String>> vary = new LinkedHashMap<>();
        vary.put("traffic.load", List.of("0.3", "0.6"));
        vary.put("fleet.hosts", List.of("4", "6"));
        return new Sweep(file, READER, vary, Map.of(), List.of("embershift", "random"), 2);
    }

    @Test
    public void aSweepIsTheSameOnOneCoreAndOnEight() throws Exception {
        Path file = file();
        Path one = file.resolveSibling("one.jsonl");
        Path eight = file.resolveSibling("eight.jsonl");
        assertEquals(sweep(file).play(one, 1, null).size(), 16);
        sweep(file).play(eight, 8, null);
        assertEquals(Files.readString(eight), Files.readString(one));
    }

    @Test
    public void aSweepThatWasEndedGoesOnWhereItStood() throws Exception {
        Path file = file();
        Path whole = file.resolveSibling("whole.jsonl");
        sweep(file).play(whole, 4, null);
        List<String> lines = Files.readAllLines(whole);
        Path again = file.resolveSibling("again.jsonl");
        // Ended in the middle of its sixth line; a mark in the first shows whether it was played
        // again.
        String kept =
                String.join("\n", lines.subList(0, 5))
                        .replaceFirst("\"service\":[0-9.]+", "\"service\":0.12345");
        Files.writeString(
                again.resolveSibling("again.jsonl.part"),
                kept + "\n" + lines.get(5).substring(0, 40));
        sweep(file).play(again, 4, null);
        List<String> result = Files.readAllLines(again);
        assertTrue(result.get(0).contains("0.12345"));
        assertEquals(result.subList(1, 16), lines.subList(1, 16));
        assertFalse(Files.exists(again.resolveSibling("again.jsonl.part")));
    }

    @Test
    public void twoProcessesGiveTheSameBytes() throws Exception {
        Path file = file();
        byte[] first = null;
        for (String name : List.of("first.jsonl", "second.jsonl")) {
            Path out = file.resolveSibling(name);
            List<String> line =
                    new ArrayList<>(
                            List.of(
                                    Path.of(System.getProperty("java.home"), "bin", "java")
                                            .toString(),
                                    "-cp",
                                    System.getProperty("java.class.path"),
                                    "embershift.emulator.Main",
                                    "run",
                                    file.toString(),
                                    "--seed",
                                    "9",
                                    "--out",
                                    out.toString()));
            Process process = new ProcessBuilder(line).redirectErrorStream(true).start();
            ByteArrayOutputStream said = new ByteArrayOutputStream();
            process.getInputStream().transferTo(said);
            assertTrue(process.waitFor(60, TimeUnit.SECONDS));
            assertEquals(process.exitValue(), 0, said.toString(StandardCharsets.UTF_8));
            byte[] bytes = Files.readAllBytes(out);
            first = first == null ? bytes : first;
            assertEquals(bytes, first);
        }
    }

    @Test
    public void aWrongDayIsOneLineAndExitTwo() throws Exception {
        Path file = file();
        Files.writeString(file, DAY + "hots = 3\n");
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                "embershift.emulator.Main",
                                "check",
                                file.toString())
                        .start();
        String said = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(process.waitFor(), 2);
        assertEquals(said.lines().count(), 1, said);
        assertTrue(said.contains("day.toml:6: fleet.hots: "), said);
    }

    @Test
    public void differencesAreTakenInPairs() throws Exception {
        Comparison comparison =
                Comparison.of(
                        READER.read(DAY, "d", Map.of("traffic.load", "0.6")),
                        List.of("random", "embershift", "top"),
                        4,
                        4,
                        null);
        double[] less = comparison.difference("random");
        assertEquals(less[0], comparison.mean("embershift") - comparison.mean("random"), 1e-9);
        assertTrue(less[1] > 0 && less[1] < 1);
        assertEquals(comparison.results().size(), 12);
        assertTrue(comparison.table().contains("top"));
    }

    @Test
    public void aHuntFindsADayAndShrinksItToOneThatStillShowsIt() throws Exception {
        Hunt.Find find =
                new Hunt(READER, READER.tree(DAY, "d"), "d", 3, 4)
                        .hunt(8, played -> played < 16, line -> {});
        assertTrue(find.badness() > 0);
        assertTrue(find.text().startsWith("name = \"x\""), find.text());
        // What is written plays the same.
        assertEquals(
                embershift.emulator.experiment.Play.of(
                                READER.read(find.text(), "found", Map.of()),
                                "embershift",
                                find.seed())
                        .result()
                        .service(),
                find.own().service());
    }

    @Test
    public void aReportIsOnePageWithItsPlotsInIt() throws Exception {
        Path file = file();
        sweep(file).play(file.resolveSibling("grid.jsonl"), 4, null);
        embershift.emulator.experiment.Lines.write(
                file.resolveSibling("run.jsonl"),
                List.of(Days.play(READER.read(DAY, "d", Map.of()), 1)));
        String page = Files.readString(Report.make(file.getParent()));
        assertTrue(page.contains("data:image/png;base64,"));
        assertFalse(page.contains("http://") || page.contains("https://"));
        assertTrue(page.contains("mean service, embershift"));
        assertTrue(page.contains("load over capacity of each host"));
    }
}
