package embershift.fleet.store;

import embershift.raft.RaftCodec;
import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The encoding of commands and snapshots of the store; each begins with a version. */
public final class StoreCodec {

    private static final int VERSION = 1;

    /** Command types. */
    private static final int OPEN_SESSION = 1;

    private static final int END_SESSION = 2;
    private static final int TRANSACTION = 3;

    /** Stands for the reason of a command that was not rejected. */
    private static final int NOT_REJECTED = -1;

    private StoreCodec() {}

    interface SnapshotConsumer {
        void accept(
                long revision,
                long appliedIndex,
                List<KeyValue> keyValues,
                List<ClientSession> sessions);
    }

    private static void writeText(DataOutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.writeInt(bytes.length);
        out.write(bytes);
    }

    private static String readText(DataInputStream in) throws IOException {
        return new String(in.readNBytes(readCount(in)), StandardCharsets.UTF_8);
    }

    /**
     * Reads a count or length; each item takes at least one byte, so a valid one is at most the
     * number of bytes left.
     */
    private static int readCount(DataInputStream in) throws IOException {
        int count = in.readInt();
        if (count < 0 || count > in.available()) {
            throw new MalformedCommandException("invalid length " + count);
        }
        return count;
    }

    private static DataInputStream open(byte[] bytes) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        int version = in.readByte();
        if (version != VERSION) {
            throw new MalformedCommandException("version " + version + " is not supported");
        }
        return in;
    }

    /** Encodes a command. */
    public static byte[] encode(StoreCommand command) {
        return RaftCodec.encode(
                out -> {
                    out.writeByte(VERSION);
                    if (command instanceof StoreCommand.OpenSession openSession) {
                        out.writeByte(OPEN_SESSION);
                        writeText(out, openSession.client());
                        out.writeDouble(openSession.timeoutSeconds());
                    } else if (command instanceof StoreCommand.EndSession endSession) {
                        out.writeByte(END_SESSION);
                        out.writeLong(endSession.session().number());
                    } else if (command instanceof StoreCommand.Transaction transaction) {
                        write(out, transaction);
                    }
                });
    }

    private static void write(DataOutputStream out, StoreCommand.Transaction transaction)
            throws IOException {
        out.writeByte(TRANSACTION);
        out.writeLong(transaction.session().number());
        out.writeLong(transaction.sequenceNumber());
        out.writeLong(transaction.oldestOpenNumber());
        out.writeInt(transaction.preconditions().size());
        for (Precondition precondition : transaction.preconditions()) {
            writeText(out, precondition.key());
            out.writeLong(precondition.revision());
        }
        out.writeInt(transaction.mutations().size());
        for (Mutation mutation : transaction.mutations()) {
            writeText(out, mutation.key());
            out.writeBoolean(mutation.value().isPresent());
            if (mutation.value().isPresent()) {
                writeText(out, mutation.value().get());
            }
            out.writeBoolean(mutation.sessionBound());
        }
    }

    /**
     * Decodes a command.
     *
     * @throws MalformedCommandException if the bytes are not a valid command
     */
    public static StoreCommand decodeCommand(byte[] bytes) {
        try {
            DataInputStream in = open(bytes);
            int kind = in.readByte();
            return switch (kind) {
                case OPEN_SESSION -> new StoreCommand.OpenSession(readText(in), in.readDouble());
                case END_SESSION -> new StoreCommand.EndSession(new SessionId(in.readLong()));
                case TRANSACTION -> readTransaction(in);
                default -> throw new MalformedCommandException("unknown command type " + kind);
            };
        } catch (IOException e) {
            throw new MalformedCommandException("truncated command");
        }
    }

    private static StoreCommand.Transaction readTransaction(DataInputStream in) throws IOException {
        SessionId session = new SessionId(in.readLong());
        long sequenceNumber = in.readLong();
        long oldestOpenNumber = in.readLong();
        List<Precondition> preconditions = new ArrayList<>();
        for (int i = readCount(in); i > 0; i--) {
            preconditions.add(new Precondition(readText(in), in.readLong()));
        }
        List<Mutation> mutations = new ArrayList<>();
        for (int i = readCount(in); i > 0; i--) {
            String key = readText(in);
            Optional<String> value =
                    in.readBoolean() ? Optional.of(readText(in)) : Optional.empty();
            mutations.add(new Mutation(key, value, in.readBoolean()));
        }
        return new StoreCommand.Transaction(
                session, sequenceNumber, oldestOpenNumber, preconditions, mutations);
    }

    static byte[] encodeSnapshot(
            long revision,
            long appliedIndex,
            Collection<KeyValue> keyValues,
            Collection<ClientSession> sessions) {
        return RaftCodec.encode(
                out -> {
                    out.writeByte(VERSION);
                    out.writeLong(revision);
                    out.writeLong(appliedIndex);
                    out.writeInt(keyValues.size());
                    for (KeyValue keyValue : keyValues) {
                        write(out, keyValue);
                    }
                    out.writeInt(sessions.size());
                    for (ClientSession session : sessions) {
                        write(out, session);
                    }
                });
    }

    private static void write(DataOutputStream out, KeyValue keyValue) throws IOException {
        writeText(out, keyValue.key());
        writeText(out, keyValue.value());
        out.writeLong(keyValue.createRevision());
        out.writeLong(keyValue.revision());
        out.writeLong(keyValue.session().number());
    }

    private static void write(DataOutputStream out, ClientSession session) throws IOException {
        out.writeLong(session.id().number());
        writeText(out, session.client());
        out.writeDouble(session.timeoutSeconds());
        out.writeLong(session.oldestOpenNumber());
        out.writeInt(session.results().size());
        for (Map.Entry<Long, CommandResult> result : session.results().entrySet()) {
            out.writeLong(result.getKey());
            write(out, result.getValue());
        }
    }

    private static void write(DataOutputStream out, CommandResult result) throws IOException {
        if (result instanceof CommandResult.Done done) {
            out.writeByte(NOT_REJECTED);
            out.writeLong(done.number());
            writeText(out, "");
        } else if (result instanceof CommandResult.Rejected rejected) {
            out.writeByte(rejected.reason().code());
            out.writeLong(0);
            writeText(out, rejected.message());
        }
    }

    static void decodeSnapshot(byte[] bytes, SnapshotConsumer consumer) {
        try {
            DataInputStream in = open(bytes);
            long revision = in.readLong();
            long appliedIndex = in.readLong();
            List<KeyValue> keyValues = new ArrayList<>();
            for (int i = readCount(in); i > 0; i--) {
                keyValues.add(readKeyValue(in));
            }
            List<ClientSession> sessions = new ArrayList<>();
            for (int i = readCount(in); i > 0; i--) {
                sessions.add(readSession(in));
            }
            consumer.accept(revision, appliedIndex, keyValues, sessions);
        } catch (IOException e) {
            throw new MalformedCommandException("truncated snapshot");
        }
    }

    private static KeyValue readKeyValue(DataInputStream in) throws IOException {
        String key = readText(in);
        String value = readText(in);
        return new KeyValue(key, value, in.readLong(), in.readLong(), new SessionId(in.readLong()));
    }

    private static ClientSession readSession(DataInputStream in) throws IOException {
        ClientSession session =
                new ClientSession(
                        new SessionId(in.readLong()), readText(in), in.readDouble(), in.readLong());
        for (int i = readCount(in); i > 0; i--) {
            session.results().put(in.readLong(), readResult(in));
        }
        return session;
    }

    private static CommandResult readResult(DataInputStream in) throws IOException {
        int reason = in.readByte();
        long number = in.readLong();
        String message = readText(in);
        return reason == NOT_REJECTED
                ? new CommandResult.Done(number)
                : new CommandResult.Rejected(CommandResult.Reason.fromCode(reason), message);
    }
}
