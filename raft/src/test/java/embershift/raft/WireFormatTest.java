package embershift.raft;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import embershift.storage.MemoryDisk;
import embershift.testing.GoldenSamples;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.testng.annotations.Test;

/**
 * Messages between members, entries and all that a member has on disk stay, byte for byte, those of
 * earlier versions.
 */
public class WireFormatTest {

    private static final String MESSAGES = "messages.txt";
    private static final String MEMBER = "member-directory.txt";
    private static final long FILE_BYTES = 400;
    private static final MemberId FIRST = new MemberId(0x1122334455667788L);
    private static final Members GROUP =
            Members.of(
                    List.of(
                            new Member(FIRST, "i1", "127.0.0.1:7101", Member.Role.VOTER),
                            new Member(
                                    new MemberId(2),
                                    "i2",
                                    "host.example:7102",
                                    Member.Role.JOINING),
                            new Member(
                                    new MemberId(3), "ü3", "127.0.0.1:7103", Member.Role.LEARNER)));
    private static final byte[] STATE = bytes("state of the machine");

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static Entry entry(long index, Entry.Kind kind, byte[] data) {
        return new Entry(index, 5, kind, data);
    }

    private static Map<String, Message> messages() {
        List<Entry> entries =
                List.of(
                        entry(10, Entry.Kind.NOTHING, new byte[0]),
                        entry(11, Entry.Kind.COMMAND, bytes("put")),
                        entry(12, Entry.Kind.MEMBERS, Codec.bytes(GROUP)));
        Map<String, Message> all = new LinkedHashMap<>();
        all.put("vote request", new Message.Ask(6, 12, 5, false, true));
        all.put("pre-vote request", new Message.Ask(6, 12, 5, true, false));
        all.put("vote reply", new Message.AskReply(6, true, false));
        all.put("pre-vote reply", new Message.AskReply(6, false, true));
        all.put("append request", new Message.Append(6, 9, 4, entries, 8, 12, 77));
        all.put("append reply", new Message.AppendReply(6, true, 12, 0, 0, 77, 0xabcdef));
        all.put("append reply, rejected", new Message.AppendReply(6, false, 9, 7, 3, 77, 0xabcdef));
        all.put(
                "snapshot request",
                new Message.Install(6, 8, 4, GROUP, 5, bytes("piece"), 20, 0x12345678, 78));
        all.put("snapshot reply", new Message.InstallReply(6, 8, 10, 78, 0xabcdef));
        all.put("timeout now", new Message.Stand(6));
        all.put("application message", new Message.Aside(6, bytes("sum")));
        return all;
    }

    @Test
    public void messagesAreWrittenAsBefore() {
        GoldenSamples samples = new GoldenSamples();
        messages().forEach((name, message) -> samples.bytes(name, Codec.bytes(message)));
        for (Entry.Kind kind : Entry.Kind.values()) {
            samples.bytes(
                    "entry of kind " + kind.code(), Codec.bytes(entry(3, kind, bytes("data"))));
        }
        samples.bytes("members", Codec.bytes(GROUP));
        samples.bytes("no members", Codec.bytes(Members.NONE));
        samples.bytes("vote", Codec.bytes(new Vote(6, FIRST)));
        samples.bytes("no vote", Codec.bytes(new Vote(6, null)));
        samples.bytes("snapshot", Codec.bytes(Snapshot.of(8, 4, GROUP, STATE)));
        samples.assertMatch(getClass(), MESSAGES);
    }

    @Test
    public void messagesOfAnEarlierVersionAreRead() {
        messages()
                .forEach(
                        (name, message) -> {
                            byte[] golden = GoldenSamples.expectedBytes(getClass(), MESSAGES, name);
                            Message read = Codec.message(golden);
                            assertEquals(read.getClass(), message.getClass(), name);
                            assertEquals(Codec.bytes(read), golden, name);
                            assertThrows(
                                    Codec.Unreadable.class,
                                    () -> Codec.message(Arrays.copyOf(golden, golden.length - 1)));
                            assertThrows(
                                    Codec.Unreadable.class,
                                    () -> Codec.message(Arrays.copyOf(golden, golden.length + 1)));
                        });
        assertEquals(
                Codec.members(GoldenSamples.expectedBytes(getClass(), MESSAGES, "members")), GROUP);
        assertEquals(
                Codec.vote(GoldenSamples.expectedBytes(getClass(), MESSAGES, "vote")),
                new Vote(6, FIRST));
        assertEquals(
                Codec.vote(GoldenSamples.expectedBytes(getClass(), MESSAGES, "no vote")),
                new Vote(6, null));
        Snapshot snapshot =
                Codec.snapshot(GoldenSamples.expectedBytes(getClass(), MESSAGES, "snapshot"));
        assertEquals(snapshot.members(), GROUP);
        assertEquals(snapshot.data(), STATE);
        for (Entry.Kind kind : Entry.Kind.values()) {
            assertEquals(
                    Codec.entry(
                                    GoldenSamples.expectedBytes(
                                            getClass(), MESSAGES, "entry of kind " + kind.code()))
                            .kind(),
                    kind);
        }
    }

    /** Votes, entries, a snapshot within the log and one in its place. */
    private static MemoryDisk written() throws IOException {
        MemoryDisk disk = new MemoryDisk();
        Keeper keeper = Keeper.open(disk, FILE_BYTES);
        keeper.keep(
                List.of(
                        new Keeper.Order(1, new Vote(1, FIRST), null, false, List.of()),
                        new Keeper.Order(
                                2,
                                null,
                                null,
                                false,
                                List.of(new Entry(1, 1, Entry.Kind.MEMBERS, Codec.bytes(GROUP))))));
        keeper.keep(
                List.of(
                        new Keeper.Order(
                                3,
                                null,
                                null,
                                false,
                                List.of(
                                        new Entry(2, 1, Entry.Kind.NOTHING, new byte[0]),
                                        new Entry(3, 1, Entry.Kind.COMMAND, bytes("a command"))))));
        keeper.keep(
                List.of(
                        new Keeper.Order(
                                4, null, Snapshot.of(2, 1, GROUP, STATE), false, List.of())));
        keeper.keep(
                List.of(
                        new Keeper.Order(
                                5,
                                new Vote(4, null),
                                Snapshot.of(9, 3, GROUP, STATE),
                                true,
                                List.of()),
                        new Keeper.Order(
                                6,
                                null,
                                null,
                                false,
                                List.of(
                                        new Entry(
                                                10,
                                                4,
                                                Entry.Kind.COMMAND,
                                                bytes("x".repeat(400)))))));
        keeper.keep(
                List.of(
                        new Keeper.Order(
                                7,
                                new Vote(5, new MemberId(2)),
                                null,
                                false,
                                List.of(new Entry(11, 5, Entry.Kind.COMMAND, bytes("last"))))));
        return disk;
    }

    @Test
    public void directoryIsWrittenAsBefore() throws IOException {
        MemoryDisk disk = written();
        GoldenSamples samples = new GoldenSamples();
        for (String name : new TreeSet<>(disk.names())) {
            samples.bytes(name, disk.read(name));
        }
        samples.assertMatch(getClass(), MEMBER);
    }

    @Test
    public void directoryOfAnEarlierVersionIsRead() throws IOException {
        MemoryDisk disk = new MemoryDisk();
        for (String name : written().names()) {
            disk.put(name, GoldenSamples.expectedBytes(getClass(), MEMBER, name));
        }
        // A mark that what was once promised may be lost, as a start after a damaged log leaves it.
        disk.put("doubt", GoldenSamples.expectedBytes(getClass(), "doubt.txt", "doubt"));
        Restored restored = Keeper.open(disk, FILE_BYTES).restored();
        assertEquals(restored.vote(), new Vote(5, new MemberId(2)));
        assertEquals(restored.doubtful(), true);
        assertEquals(restored.snapshot().index(), 9);
        assertEquals(restored.snapshot().data(), STATE);
        assertEquals(restored.entries().stream().map(Entry::index).toList(), List.of(10L, 11L));
        assertEquals(restored.entries().get(1).data(), bytes("last"));
    }

    /**
     * A log that lost its end once on disk: the mark of that is a file of the same name and content
     * as before.
     */
    @Test
    public void markOfADamagedLogIsWrittenAsBefore() throws IOException {
        MemoryDisk disk = written();
        String last =
                new TreeSet<>(disk.names())
                        .stream()
                                .filter(name -> name.startsWith("log-"))
                                .reduce((one, other) -> other)
                                .orElseThrow();
        byte[] damaged = disk.read(last);
        damaged[damaged.length - 1] ^= 1;
        disk.put(last, damaged);
        assertEquals(Keeper.open(disk, FILE_BYTES).restored().doubtful(), true);
        new GoldenSamples().bytes("doubt", disk.read("doubt")).assertMatch(getClass(), "doubt.txt");
    }
}
