package embershift.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import embershift.testing.GoldenSamples;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.testng.annotations.Test;

/**
 * Commands, snapshots and all texts that the record holds stay, byte for byte, those of earlier
 * versions.
 */
public class StoredFormatTest {

    private static final String BINARY = "commands.txt";
    private static final String TEXTS = "texts.txt";
    private static final SessionId SESSION = new SessionId(41);

    private static Map<String, Command> commands() {
        Map<String, Command> all = new TreeMap<>();
        all.put("open session", new Command.Open("i1", 2.5));
        all.put("end session", new Command.End(SESSION));
        all.put(
                "change",
                new Command.Change(
                        SESSION,
                        7,
                        5,
                        List.of(new Condition("a", 0), new Condition("ü", Condition.ANY)),
                        List.of(
                                new Write("a", "value", true),
                                new Write("b", null, false),
                                new Write("c", "", false))));
        DutyId duty = new DutyId("rollout");
        all.put("claim", Grants.claim(SESSION, 1, duty, "i2"));
        all.put("give back", Grants.giveBack(SESSION, 2, duty, new Fence(99)));
        all.put("take over", Grants.takeOver(SESSION, 3, duty, "i3", new Fence(99)));
        all.put("note progress", Grants.note(SESSION, 4, duty, new Fence(99), "plan INTENDED 0 1"));
        return all;
    }

    private static Command.Change write(
            SessionId session,
            long number,
            Condition condition,
            String key,
            String value,
            boolean bound) {
        return new Command.Change(
                session,
                number,
                number,
                condition == null ? List.of() : List.of(condition),
                List.of(new Write(key, value, bound)));
    }

    private static KeyValueStore record() {
        KeyValueStore record = new KeyValueStore();
        record.apply(1, new Command.Open("client one", 3));
        record.pass(2);
        SessionId session = new SessionId(1);
        record.apply(3, write(session, 1, null, "bound", "x", true));
        record.apply(4, write(session, 2, new Condition("bound", 77), "refused", "x", false));
        record.apply(5, write(SessionId.NONE, 0, null, "plain/ü", "two\nlines", false));
        record.apply(6, new Command.Open("second", 30));
        record.apply(
                7, write(new SessionId(6), 1, null, "k".repeat(KeyValueStore.KEY + 1), "x", false));
        record.apply(
                8,
                write(
                        new SessionId(6),
                        2,
                        new Condition("nothing", Condition.ANY),
                        "x",
                        "x",
                        false));
        record.apply(9, new Command.End(new SessionId(12)));
        record.apply(10, write(SessionId.NONE, 0, null, "bound", "unbound now", false));
        return record;
    }

    @Test
    public void commandsAndSnapshotsAreWrittenAsBefore() {
        GoldenSamples samples = new GoldenSamples();
        commands().forEach((name, command) -> samples.bytes(name, RecordCodec.bytes(command)));
        samples.bytes("snapshot", record().bytes());
        samples.bytes("empty snapshot", new KeyValueStore().bytes());
        TreeMap<Long, Result> results = new TreeMap<>();
        for (Result.Why why : Result.Why.values()) {
            results.put((long) results.size(), Result.refused(why, "as text"));
        }
        results.put(100L, Result.done(5));
        Session session = new Session(SESSION, "client", 1.5);
        session.open = 3;
        session.results.putAll(results);
        samples.bytes(
                "snapshot with each result", RecordCodec.bytes(9, 12, List.of(), List.of(session)));
        samples.assertMatch(getClass(), BINARY);
    }

    @Test
    public void commandsAndSnapshotsOfAnEarlierVersionAreRead() {
        commands()
                .forEach(
                        (name, command) -> {
                            byte[] golden = GoldenSamples.expectedBytes(getClass(), BINARY, name);
                            assertEquals(RecordCodec.command(golden), command, name);
                            assertThrows(
                                    RecordCodec.Unreadable.class,
                                    () ->
                                            RecordCodec.command(
                                                    Arrays.copyOf(golden, golden.length - 1)));
                        });
        for (String name : List.of("snapshot", "empty snapshot", "snapshot with each result")) {
            byte[] golden = GoldenSamples.expectedBytes(getClass(), BINARY, name);
            assertEquals(KeyValueStore.of(golden).bytes(), golden, name);
        }
        assertEquals(
                KeyValueStore.of(GoldenSamples.expectedBytes(getClass(), BINARY, "snapshot"))
                        .get("plain/ü")
                        .value(),
                "two\nlines");
    }

    private static Segment segment() {
        List<Trace> entries = new ArrayList<>();
        Hybrid at = Hybrid.START;
        for (Trace.Kind kind : Trace.Kind.values()) {
            at = at.next(1_700_000_000_000L);
            entries.add(
                    new Trace(
                            entries.size() + 1,
                            at,
                            kind,
                            Map.of("revision", "3", "out.h1", "1"),
                            "free  text\nof it"));
        }
        entries.add(new Trace(entries.size() + 1, at.next(0), Trace.Kind.TUNNELS, Map.of(), ""));
        return new Segment("node-1", 17, 2, "abc", entries);
    }

    private static ReleasePlan releasePlan() {
        return new ReleasePlan(
                "r-1",
                2,
                0.9,
                5,
                60,
                List.of(
                        new ReleasePlan.Part(false, "h1"),
                        new ReleasePlan.Part(true, "n1"),
                        new ReleasePlan.Part(false, "h2")));
    }

    @Test
    public void textsOfTheRecordAreWrittenAsBefore() {
        GoldenSamples samples = new GoldenSamples();
        DutyId duty = new DutyId("lists");
        samples.text(
                "duty keys", duty.fenceKey() + " " + duty.ownerKey() + " " + duty.progressKey());
        Revision first =
                Revision.NONE.next(Map.of("out/h1", "why not", "discovery", "127.0.0.1:1"));
        Map<String, String> changes = new TreeMap<>(Map.of("sockets", "100", "peers", ""));
        changes.put("out/h1", null);
        Revision second = first.next(changes);
        samples.text("first revision", first.text()).text("second revision", second.text());
        samples.text("revision key", Revision.key(second.number()))
                .text("revision chain", second.chain());
        samples.text("revision difference", second.differenceFrom(first).toString());
        samples.text("segment", segment().text()).text("segment key", segment().key());
        samples.text("hybrid time", new Hybrid(1_700_000_000_000L, 3).toString());
        samples.text("release plan", releasePlan().text());
        samples.text("release part id", releasePlan().id(1, releasePlan().parts().get(1)));
        samples.text(
                "release keys", ReleasePlan.KEY + " " + ReleasePlan.WISH + " " + ReleasePlan.STATE);
        List<Plan.Progress.State> states = List.of(Plan.Progress.State.values());
        for (Plan.Progress.State state : states) {
            samples.text(
                    "progress " + states.indexOf(state),
                    new Plan.Progress("plan-1", state, 2, 1).text());
        }
        samples.text(
                "begin of a trail", new Folding.Begin(4, 200, "sum", 3, new Hybrid(12, 1)).text());
        List<Write> folded =
                Folding.fold(
                        List.of(new Item(segment().key(), segment().text(), 1, 1, SessionId.NONE)),
                        Map.of(),
                        1,
                        1);
        folded.forEach(
                write -> samples.text("folded " + write.key(), String.valueOf(write.value())));
        samples.text("stages and floor of a rollout", String.join("; ", rollout()));
        samples.assertMatch(getClass(), TEXTS);
    }

    @Test
    public void textsOfAnEarlierVersionAreRead() {
        assertEquals(Segment.read(segment().text()), segment());
        assertEquals(ReleasePlan.read(releasePlan().text()), releasePlan());
        Revision first = Revision.NONE.next(Map.of("out/h1", "why not"));
        assertEquals(Revision.read(first.text()), first);
        for (Plan.Progress.State state : Plan.Progress.State.values()) {
            Plan.Progress progress = new Plan.Progress("plan-1", state, 2, 1);
            assertEquals(Plan.Progress.read(progress.text()), progress);
        }
    }

    /**
     * What a rollout notes in the record, of a revision that is taken by all and of one that is
     * refused.
     */
    private static List<String> rollout() {
        List<String> noted = new ArrayList<>();
        Rollout[] rollout = new Rollout[1];
        Rollout.Hands hands =
                new Rollout.Hands() {
                    @Override
                    public void order(String node, Revision revision, long base) {
                        noted.add("order " + node + " " + revision.number() + " against " + base);
                    }

                    @Override
                    public void note(String text) {
                        noted.add("note " + text);
                    }

                    @Override
                    public void floor(long revision) {
                        noted.add("floor " + revision);
                    }

                    @Override
                    public void shutOut(String node, long incarnation, String why) {
                        noted.add("out " + node + " " + incarnation + " " + why);
                    }

                    @Override
                    public void replace(String node, String why) {
                        noted.add("replace " + node + " " + why);
                    }

                    @Override
                    public void told(String what) {
                        // For people: no format.
                    }
                };
        rollout[0] = new Rollout(Rollout.Terms.USUAL, hands);
        Revision first = Revision.NONE.next(Map.of("out/h1", "x"));
        Revision second = first.next(Map.of("out/h2", "x"));
        Collection<String> names = List.of("n1", "n2");
        names.forEach(rollout[0]::named);
        rollout[0].known(first, false);
        play(rollout[0], names, noted, 0, first, 0);
        rollout[0].known(second, false);
        play(rollout[0], names, noted, 30, first, second.number());
        for (Rollout.State state : Rollout.State.values()) {
            noted.add("state " + state);
        }
        for (Rollout.Stage stage : Rollout.Stage.values()) {
            noted.add("stage " + stage);
        }
        return noted;
    }

    private static void play(
            Rollout rollout,
            Collection<String> names,
            List<String> noted,
            double from,
            Revision held,
            long refused) {
        for (int i = 0; i < 40; i++) {
            double now = from + 0.25 * i;
            Revision goes = i < 2 && refused == 0 ? Revision.NONE : held;
            long refusedByNow = i > 4 ? refused : 0;
            names.forEach(
                    name ->
                            rollout.heard(
                                    now,
                                    new Rollout.Report(
                                            name,
                                            5,
                                            goes.number(),
                                            goes.chain(),
                                            goes.content(),
                                            true,
                                            refusedByNow,
                                            refused == 0 ? "" : "can't",
                                            10,
                                            0)));
            int before = noted.size();
            rollout.tick(now);
            noted.subList(before, noted.size()).stream()
                    .filter(line -> line.startsWith("note "))
                    .toList()
                    .forEach(line -> rollout.noted());
        }
    }
}
