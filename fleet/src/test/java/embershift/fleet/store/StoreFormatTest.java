package embershift.fleet.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import embershift.fleet.lease.FencingToken;
import embershift.fleet.lease.LeaseCommands;
import embershift.fleet.lease.TaskId;
import embershift.testing.GoldenSamples;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.testng.annotations.Test;

/** Commands and snapshots of the store stay, byte for byte, those of earlier versions. */
public class StoreFormatTest {

    private static final String GOLDEN = "commands.txt";
    private static final SessionId SESSION = new SessionId(41);

    private static Map<String, StoreCommand> commands() {
        Map<String, StoreCommand> commands = new TreeMap<>();
        commands.put("open session", new StoreCommand.OpenSession("i1", 2.5));
        commands.put("end session", new StoreCommand.EndSession(SESSION));
        commands.put(
                "change",
                new StoreCommand.Transaction(
                        SESSION,
                        7,
                        5,
                        List.of(
                                new Precondition("a", Precondition.ABSENT),
                                new Precondition("ü", Precondition.ANY_REVISION)),
                        List.of(
                                Mutation.putSessionBound("a", "value"),
                                Mutation.delete("b"),
                                Mutation.put("c", ""))));
        TaskId task = new TaskId("rollout");
        FencingToken token = new FencingToken(99);
        commands.put("claim", LeaseCommands.acquire(SESSION, 1, task, "i2"));
        commands.put("give back", LeaseCommands.release(SESSION, 2, task, token));
        commands.put("take over", LeaseCommands.takeOver(SESSION, 3, task, "i3", token));
        commands.put(
                "note progress",
                LeaseCommands.recordProgress(SESSION, 4, task, token, "plan INTENDED 0 1"));
        return commands;
    }

    private static StoreCommand.Transaction transaction(
            SessionId session, long number, List<Precondition> preconditions, Mutation mutation) {
        return new StoreCommand.Transaction(
                session, number, number, preconditions, List.of(mutation));
    }

    private static KeyValueStore store() {
        KeyValueStore store = new KeyValueStore();
        store.apply(1, new StoreCommand.OpenSession("client one", 3));
        store.skipEntry(2);
        SessionId first = new SessionId(1);
        SessionId second = new SessionId(6);
        store.apply(3, transaction(first, 1, List.of(), Mutation.putSessionBound("bound", "x")));
        store.apply(
                4,
                transaction(
                        first,
                        2,
                        List.of(new Precondition("bound", 77)),
                        Mutation.put("refused", "x")));
        store.apply(
                5,
                transaction(SessionId.NONE, 0, List.of(), Mutation.put("plain/ü", "two\nlines")));
        store.apply(6, new StoreCommand.OpenSession("second", 30));
        String tooLong = "k".repeat(KeyValueStore.MAX_KEY_CHARS + 1);
        store.apply(7, transaction(second, 1, List.of(), Mutation.put(tooLong, "x")));
        store.apply(
                8,
                transaction(
                        second,
                        2,
                        List.of(new Precondition("nothing", Precondition.ANY_REVISION)),
                        Mutation.put("x", "x")));
        store.apply(9, new StoreCommand.EndSession(new SessionId(12)));
        store.apply(
                10,
                transaction(SessionId.NONE, 0, List.of(), Mutation.put("bound", "unbound now")));
        return store;
    }

    private static ClientSession sessionWithEachResult() {
        ClientSession session = new ClientSession(SESSION, "client", 1.5, 3);
        long number = 0;
        for (CommandResult.Reason reason : CommandResult.Reason.values()) {
            session.results().put(number++, new CommandResult.Rejected(reason, "as text"));
        }
        session.results().put(100L, new CommandResult.Done(5));
        return session;
    }

    @Test
    public void commandsAndSnapshotsAreWrittenAsBefore() {
        GoldenSamples samples = new GoldenSamples();
        commands().forEach((name, command) -> samples.bytes(name, StoreCodec.encode(command)));
        samples.bytes("snapshot", store().encode());
        samples.bytes("empty snapshot", new KeyValueStore().encode());
        samples.bytes(
                "snapshot with each result",
                StoreCodec.encodeSnapshot(9, 12, List.of(), List.of(sessionWithEachResult())));
        samples.assertMatch(getClass(), GOLDEN);
    }

    @Test
    public void commandsAndSnapshotsOfAnEarlierVersionAreRead() {
        commands()
                .forEach(
                        (name, command) -> {
                            byte[] golden = GoldenSamples.expectedBytes(getClass(), GOLDEN, name);
                            byte[] cut = Arrays.copyOf(golden, golden.length - 1);
                            assertEquals(StoreCodec.decodeCommand(golden), command, name);
                            assertThrows(
                                    MalformedCommandException.class,
                                    () -> StoreCodec.decodeCommand(cut));
                        });
        for (String name : List.of("snapshot", "empty snapshot", "snapshot with each result")) {
            byte[] golden = GoldenSamples.expectedBytes(getClass(), GOLDEN, name);
            assertEquals(KeyValueStore.decode(golden).encode(), golden, name);
        }
        byte[] golden = GoldenSamples.expectedBytes(getClass(), GOLDEN, "snapshot");
        KeyValueStore store = KeyValueStore.decode(golden);
        assertEquals(store.find("plain/ü").orElseThrow().value(), "two\nlines");
    }
}
