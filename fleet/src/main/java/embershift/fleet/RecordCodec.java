package embershift.fleet;

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

/** Commands and the record as bytes, with a version first. */
public final class RecordCodec {

    /** Bytes are no command or record that this program knows. The message is one line. */
    public static final class Unreadable extends IllegalArgumentException {

        private static final long serialVersionUID = 1;

        Unreadable(String message) {
            super(message);
        }
    }

    static final int VERSION = 1;
    private static final int OPEN = 1;
    private static final int END = 2;
    private static final int CHANGE = 3;

    private RecordCodec() {}

    private static void text(DataOutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.writeInt(bytes.length);
        out.write(bytes);
    }

    private static String text(DataInputStream in) throws IOException {
        return new String(in.readNBytes(many(in)), StandardCharsets.UTF_8);
    }

    private static int many(DataInputStream in) throws IOException {
        int many = in.readInt();
        if (many < 0 || many > in.available()) {
            throw new Unreadable("a length of " + many);
        }
        return many;
    }

    public static byte[] bytes(Command command) {
        return RaftCodec.encode(
                out -> {
                    out.writeByte(VERSION);
                    if (command instanceof Command.Open open) {
                        out.writeByte(OPEN);
                        text(out, open.client());
                        out.writeDouble(open.seconds());
                    } else if (command instanceof Command.End end) {
                        out.writeByte(END);
                        out.writeLong(end.session().number());
                    } else if (command instanceof Command.Change change) {
                        out.writeByte(CHANGE);
                        out.writeLong(change.session().number());
                        out.writeLong(change.number());
                        out.writeLong(change.open());
                        out.writeInt(change.conditions().size());
                        for (Condition condition : change.conditions()) {
                            text(out, condition.key());
                            out.writeLong(condition.revision());
                        }
                        out.writeInt(change.writes().size());
                        for (Write write : change.writes()) {
                            text(out, write.key());
                            out.writeBoolean(write.value() != null);
                            if (write.value() != null) {
                                text(out, write.value());
                            }
                            out.writeBoolean(write.bound());
                        }
                    }
                });
    }

    public static Command command(byte[] bytes) {
        try {
            DataInputStream in = in(bytes);
            int kind = in.readByte();
            return switch (kind) {
                case OPEN -> new Command.Open(text(in), in.readDouble());
                case END -> new Command.End(new SessionId(in.readLong()));
                case CHANGE -> change(in);
                default -> throw new Unreadable("a command of kind " + kind);
            };
        } catch (IOException e) {
            throw new Unreadable("a command that ends early");
        }
    }

    private static Command.Change change(DataInputStream in) throws IOException {
        SessionId session = new SessionId(in.readLong());
        long number = in.readLong();
        long open = in.readLong();
        List<Condition> conditions = new ArrayList<>();
        for (int i = many(in); i > 0; i--) {
            conditions.add(new Condition(text(in), in.readLong()));
        }
        List<Write> writes = new ArrayList<>();
        for (int i = many(in); i > 0; i--) {
            String key = text(in);
            writes.add(new Write(key, in.readBoolean() ? text(in) : null, in.readBoolean()));
        }
        return new Command.Change(session, number, open, conditions, writes);
    }

    private static DataInputStream in(byte[] bytes) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        int version = in.readByte();
        if (version != VERSION) {
            throw new Unreadable("of version " + version + ", which this program does not know");
        }
        return in;
    }

    static byte[] bytes(
            long revision, long applied, Collection<Item> items, Collection<Session> sessions) {
        return RaftCodec.encode(
                out -> {
                    out.writeByte(VERSION);
                    out.writeLong(revision);
                    out.writeLong(applied);
                    out.writeInt(items.size());
                    for (Item item : items) {
                        text(out, item.key());
                        text(out, item.value());
                        out.writeLong(item.created());
                        out.writeLong(item.revision());
                        out.writeLong(item.session().number());
                    }
                    out.writeInt(sessions.size());
                    for (Session session : sessions) {
                        out.writeLong(session.id.number());
                        text(out, session.client);
                        out.writeDouble(session.seconds);
                        out.writeLong(session.open);
                        out.writeInt(session.results.size());
                        for (Map.Entry<Long, Result> result : session.results.entrySet()) {
                            out.writeLong(result.getKey());
                            out.writeByte(
                                    result.getValue().why() == null
                                            ? -1
                                            : result.getValue().why().code());
                            out.writeLong(result.getValue().number());
                            text(out, result.getValue().text());
                        }
                    }
                });
    }

    interface Filling {
        void take(long revision, long applied, List<Item> items, List<Session> sessions);
    }

    static void read(byte[] bytes, Filling filling) {
        try {
            DataInputStream in = in(bytes);
            long revision = in.readLong();
            long applied = in.readLong();
            List<Item> items = new ArrayList<>();
            for (int i = many(in); i > 0; i--) {
                items.add(
                        new Item(
                                text(in),
                                text(in),
                                in.readLong(),
                                in.readLong(),
                                new SessionId(in.readLong())));
            }
            List<Session> sessions = new ArrayList<>();
            for (int i = many(in); i > 0; i--) {
                Session session =
                        new Session(new SessionId(in.readLong()), text(in), in.readDouble());
                session.open = in.readLong();
                for (int j = many(in); j > 0; j--) {
                    long number = in.readLong();
                    int why = in.readByte();
                    session.results.put(
                            number,
                            new Result(
                                    why < 0 ? null : Result.Why.of(why), in.readLong(), text(in)));
                }
                sessions.add(session);
            }
            filling.take(revision, applied, items, sessions);
        } catch (IOException | IndexOutOfBoundsException e) {
            throw new Unreadable("a record that ends early");
        }
    }
}
