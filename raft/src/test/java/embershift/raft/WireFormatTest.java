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
import java.util.Optional;
import java.util.TreeSet;
import org.testng.annotations.Test;

/**
 * Guards the encoding of messages, log entries and files on disk: they must stay byte for byte
 * those of earlier versions.
 */
public class WireFormatTest {

    private static final String MESSAGES = "messages.txt";
    private static final String DIRECTORY = "member-directory.txt";
    private static final long FILE_BYTES = 400;
    private static final MemberId FIRST = new MemberId(0x1122334455667788L);
    private static final Membership GROUP =
            Membership.of(
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

    private static LogEntry entry(long index, LogEntry.Kind kind, byte[] data) {
        return new LogEntry(index, 5, kind, data);
    }

    private static Map<String, RaftMessage> messages() {
        List<LogEntry> entries =
                List.of(
                        entry(10, LogEntry.Kind.NO_OP, new byte[0]),
                        entry(11, LogEntry.Kind.COMMAND, bytes("put")),
                        entry(12, LogEntry.Kind.MEMBERSHIP, RaftCodec.encode(GROUP)));
        Map<String, RaftMessage> messages = new LinkedHashMap<>();
        messages.put("vote request", new RaftMessage.VoteRequest(6, 12, 5, false, true));
        messages.put("pre-vote request", new RaftMessage.VoteRequest(6, 12, 5, true, false));
        messages.put("vote reply", new RaftMessage.VoteReply(6, true, false));
        messages.put("pre-vote reply", new RaftMessage.VoteReply(6, false, true));
        messages.put("append request", new RaftMessage.AppendRequest(6, 9, 4, entries, 8, 12, 77));
        messages.put("append reply", new RaftMessage.AppendReply(6, true, 12, 0, 0, 77, 0xabcdef));
        messages.put(
                "append reply, rejected",
                new RaftMessage.AppendReply(6, false, 9, 7, 3, 77, 0xabcdef));
        messages.put(
                "snapshot request",
                new RaftMessage.SnapshotRequest(
                        6, 8, 4, GROUP, 5, bytes("piece"), 20, 0x12345678, 78));
        messages.put("snapshot reply", new RaftMessage.SnapshotReply(6, 8, 10, 78, 0xabcdef));
        messages.put("timeout now", new RaftMessage.TimeoutNow(6));
        messages.put("application message", new RaftMessage.ApplicationMessage(6, bytes("sum")));
        return messages;
    }

    @Test
    public void messageEncodingIsUnchanged() {
        GoldenSamples samples = new GoldenSamples();
        messages()
                .forEach((name, message) -> samples.bytes(name, RaftMessageCodec.encode(message)));
        for (LogEntry.Kind kind : LogEntry.Kind.values()) {
            samples.bytes(
                    "entry of kind " + kind.code(),
                    RaftCodec.encode(entry(3, kind, bytes("data"))));
        }
        samples.bytes("members", RaftCodec.encode(GROUP));
        samples.bytes("no members", RaftCodec.encode(Membership.EMPTY));
        samples.bytes("vote", RaftCodec.encode(new HardState(6, FIRST)));
        samples.bytes("no vote", RaftCodec.encode(new HardState(6, MemberId.NONE)));
        samples.bytes("snapshot", RaftCodec.encode(Snapshot.of(8, 4, GROUP, STATE)));
        samples.assertMatch(getClass(), MESSAGES);
    }

    @Test
    public void messagesOfEarlierVersionAreDecoded() {
        messages()
                .forEach(
                        (name, message) -> {
                            byte[] golden = GoldenSamples.expectedBytes(getClass(), MESSAGES, name);
                            RaftMessage read = RaftMessageCodec.decode(golden);
                            assertEquals(read.getClass(), message.getClass(), name);
                            assertEquals(RaftMessageCodec.encode(read), golden, name);
                            assertThrows(
                                    MalformedBytesException.class,
                                    () ->
                                            RaftMessageCodec.decode(
                                                    Arrays.copyOf(golden, golden.length - 1)));
                            assertThrows(
                                    MalformedBytesException.class,
                                    () ->
                                            RaftMessageCodec.decode(
                                                    Arrays.copyOf(golden, golden.length + 1)));
                        });
        assertEquals(
                RaftCodec.decodeMembership(
                        GoldenSamples.expectedBytes(getClass(), MESSAGES, "members")),
                GROUP);
        assertEquals(
                RaftCodec.decodeHardState(
                        GoldenSamples.expectedBytes(getClass(), MESSAGES, "vote")),
                new HardState(6, FIRST));
        assertEquals(
                RaftCodec.decodeHardState(
                        GoldenSamples.expectedBytes(getClass(), MESSAGES, "no vote")),
                new HardState(6, MemberId.NONE));
        Snapshot snapshot =
                RaftCodec.decodeSnapshot(
                        GoldenSamples.expectedBytes(getClass(), MESSAGES, "snapshot"));
        assertEquals(snapshot.membership(), GROUP);
        assertEquals(snapshot.data(), STATE);
        for (LogEntry.Kind kind : LogEntry.Kind.values()) {
            assertEquals(
                    RaftCodec.decodeEntry(
                                    GoldenSamples.expectedBytes(
                                            getClass(), MESSAGES, "entry of kind " + kind.code()))
                            .kind(),
                    kind);
        }
    }

    private static WriteRequest request(
            long number,
            HardState hardState,
            Snapshot snapshot,
            boolean replacesLog,
            List<LogEntry> entries) {
        return new WriteRequest(
                number,
                Optional.ofNullable(hardState),
                Optional.ofNullable(snapshot),
                replacesLog,
                entries);
    }

    /** Writes votes, entries, a snapshot within the log and one that replaces the log. */
    private static MemoryDisk writeSampleDirectory() throws IOException {
        MemoryDisk disk = new MemoryDisk();
        RaftPersistence persistence = RaftPersistence.open(disk, FILE_BYTES);
        persistence.write(
                List.of(
                        request(1, new HardState(1, FIRST), null, false, List.of()),
                        request(
                                2,
                                null,
                                null,
                                false,
                                List.of(
                                        new LogEntry(
                                                1,
                                                1,
                                                LogEntry.Kind.MEMBERSHIP,
                                                RaftCodec.encode(GROUP))))));
        persistence.write(
                List.of(
                        request(
                                3,
                                null,
                                null,
                                false,
                                List.of(
                                        new LogEntry(2, 1, LogEntry.Kind.NO_OP, new byte[0]),
                                        new LogEntry(
                                                3,
                                                1,
                                                LogEntry.Kind.COMMAND,
                                                bytes("a command"))))));
        persistence.write(
                List.of(request(4, null, Snapshot.of(2, 1, GROUP, STATE), false, List.of())));
        persistence.write(
                List.of(
                        request(
                                5,
                                new HardState(4, MemberId.NONE),
                                Snapshot.of(9, 3, GROUP, STATE),
                                true,
                                List.of()),
                        request(
                                6,
                                null,
                                null,
                                false,
                                List.of(
                                        new LogEntry(
                                                10,
                                                4,
                                                LogEntry.Kind.COMMAND,
                                                bytes("x".repeat(400)))))));
        persistence.write(
                List.of(
                        request(
                                7,
                                new HardState(5, new MemberId(2)),
                                null,
                                false,
                                List.of(
                                        new LogEntry(
                                                11, 5, LogEntry.Kind.COMMAND, bytes("last"))))));
        return disk;
    }

    @Test
    public void directoryFormatIsUnchanged() throws IOException {
        MemoryDisk disk = writeSampleDirectory();
        GoldenSamples samples = new GoldenSamples();
        for (String name : new TreeSet<>(disk.fileNames())) {
            samples.bytes(name, disk.read(name));
        }
        samples.assertMatch(getClass(), DIRECTORY);
    }

    @Test
    public void directoryOfEarlierVersionIsRead() throws IOException {
        MemoryDisk disk = new MemoryDisk();
        for (String name : writeSampleDirectory().fileNames()) {
            disk.put(name, GoldenSamples.expectedBytes(getClass(), DIRECTORY, name));
        }
        // The untrusted marker, as left by a start with a damaged log.
        disk.put("doubt", GoldenSamples.expectedBytes(getClass(), "doubt.txt", "doubt"));
        RecoveredState restored = RaftPersistence.open(disk, FILE_BYTES).takeRecovered();
        assertEquals(restored.hardState(), new HardState(5, new MemberId(2)));
        assertEquals(restored.isUntrusted(), true);
        assertEquals(restored.snapshot().orElseThrow().index(), 9);
        assertEquals(restored.snapshot().orElseThrow().data(), STATE);
        assertEquals(restored.entries().stream().map(LogEntry::index).toList(), List.of(10L, 11L));
        assertEquals(restored.entries().get(1).data(), bytes("last"));
    }

    /**
     * A damaged end of the log is recorded by a marker file, whose name and content must stay the
     * same.
     */
    @Test
    public void untrustedMarkerFormatIsUnchanged() throws IOException {
        MemoryDisk disk = writeSampleDirectory();
        String last =
                new TreeSet<>(disk.fileNames())
                        .stream()
                                .filter(name -> name.startsWith("log-"))
                                .reduce((one, other) -> other)
                                .orElseThrow();
        byte[] damaged = disk.read(last);
        damaged[damaged.length - 1] ^= 1;
        disk.put(last, damaged);
        assertEquals(RaftPersistence.open(disk, FILE_BYTES).takeRecovered().isUntrusted(), true);
        new GoldenSamples().bytes("doubt", disk.read("doubt")).assertMatch(getClass(), "doubt.txt");
    }
}
