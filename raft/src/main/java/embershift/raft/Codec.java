package embershift.raft;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Messages, entries and the like as bytes, the same on every machine. What is no such bytes is
 * refused, never guessed.
 */
public final class Codec {

    /** Bytes are not what they should be. The message is one line. */
    public static final class Unreadable extends IllegalArgumentException {

        private static final long serialVersionUID = 1;

        Unreadable(String message) {
            super(message);
        }
    }

    private static final int MEMBERS_VERSION = 1;
    private static final int MOST_ENTRIES = 1 << 16;

    private Codec() {}

    /** Puts something into bytes. */
    public interface Writing {
        void to(DataOutputStream out) throws IOException;
    }

    private interface Reading<T> {
        T from(DataInputStream in) throws IOException;
    }

    /** The bytes that it puts; for those who write what goes into entries, too. */
    public static byte[] written(Writing writing) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            writing.to(new DataOutputStream(bytes));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static <T> T read(byte[] bytes, Reading<T> reading) {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        try {
            T value = reading.from(in);
            if (in.read() >= 0) {
                throw new Unreadable("more bytes than were written");
            }
            return value;
        } catch (IOException | IndexOutOfBoundsException e) {
            throw new Unreadable("bytes are missing");
        }
    }

    private static void blob(DataOutputStream out, byte[] bytes) throws IOException {
        out.writeInt(bytes.length);
        out.write(bytes);
    }

    private static byte[] blob(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length < 0 || length > in.available()) {
            throw new Unreadable("a length of " + length);
        }
        return in.readNBytes(length);
    }

    public static byte[] bytes(Members members) {
        return written(
                out -> {
                    out.writeByte(MEMBERS_VERSION);
                    out.writeInt(members.size());
                    for (Member member : members.all()) {
                        out.writeLong(member.id().number());
                        out.writeUTF(member.name());
                        out.writeUTF(member.address());
                        out.writeByte(member.role().code());
                    }
                });
    }

    public static Members members(byte[] bytes) {
        return read(bytes, Codec::members);
    }

    private static Members members(DataInputStream in) throws IOException {
        int version = in.readByte();
        if (version != MEMBERS_VERSION) {
            throw new Unreadable("members of version " + version);
        }
        List<Member> members = new ArrayList<>();
        int many = in.readInt();
        if (many < 0 || many > Members.MOST) {
            throw new Unreadable(many + " members");
        }
        for (int i = 0; i < many; i++) {
            members.add(
                    new Member(
                            new MemberId(in.readLong()),
                            in.readUTF(),
                            in.readUTF(),
                            Member.Role.of(in.readByte())));
        }
        return Members.of(members);
    }

    public static byte[] bytes(Entry entry) {
        return written(out -> write(out, entry));
    }

    private static void write(DataOutputStream out, Entry entry) throws IOException {
        out.writeLong(entry.index());
        out.writeLong(entry.term());
        out.writeByte(entry.kind().code());
        blob(out, entry.data());
    }

    public static Entry entry(byte[] bytes) {
        return read(bytes, Codec::entry);
    }

    private static Entry entry(DataInputStream in) throws IOException {
        return new Entry(in.readLong(), in.readLong(), Entry.Kind.of(in.readByte()), blob(in));
    }

    public static byte[] bytes(Vote vote) {
        return written(
                out -> {
                    out.writeLong(vote.term());
                    out.writeLong(vote.candidate() == null ? 0 : vote.candidate().number());
                });
    }

    public static Vote vote(byte[] bytes) {
        return read(
                bytes,
                in -> {
                    long term = in.readLong();
                    long candidate = in.readLong();
                    return new Vote(term, candidate == 0 ? null : new MemberId(candidate));
                });
    }

    public static byte[] bytes(Snapshot snapshot) {
        return written(
                out -> {
                    out.writeLong(snapshot.index());
                    out.writeLong(snapshot.term());
                    blob(out, bytes(snapshot.members()));
                    out.writeInt(snapshot.sum());
                    blob(out, snapshot.data());
                });
    }

    public static Snapshot snapshot(byte[] bytes) {
        return read(
                bytes,
                in -> {
                    long index = in.readLong();
                    long term = in.readLong();
                    Members members = members(blob(in));
                    int sum = in.readInt();
                    return new Snapshot(index, term, members, blob(in), sum);
                });
    }

    public static byte[] bytes(Message message) {
        return written(
                out -> {
                    if (message instanceof Message.Ask ask) {
                        out.writeByte(1);
                        out.writeLong(ask.term());
                        out.writeLong(ask.lastIndex());
                        out.writeLong(ask.lastTerm());
                        out.writeBoolean(ask.ahead());
                        out.writeBoolean(ask.forced());
                    } else if (message instanceof Message.AskReply reply) {
                        out.writeByte(2);
                        out.writeLong(reply.term());
                        out.writeBoolean(reply.granted());
                        out.writeBoolean(reply.ahead());
                    } else if (message instanceof Message.Append append) {
                        out.writeByte(3);
                        out.writeLong(append.term());
                        out.writeLong(append.before());
                        out.writeLong(append.beforeTerm());
                        out.writeInt(append.entries().size());
                        for (Entry entry : append.entries()) {
                            write(out, entry);
                        }
                        out.writeLong(append.commit());
                        out.writeLong(append.last());
                        out.writeLong(append.round());
                    } else if (message instanceof Message.AppendReply reply) {
                        out.writeByte(4);
                        out.writeLong(reply.term());
                        out.writeBoolean(reply.ok());
                        out.writeLong(reply.index());
                        out.writeLong(reply.hint());
                        out.writeLong(reply.hintTerm());
                        out.writeLong(reply.round());
                        out.writeLong(reply.run());
                    } else if (message instanceof Message.Install install) {
                        out.writeByte(5);
                        out.writeLong(install.term());
                        out.writeLong(install.index());
                        out.writeLong(install.indexTerm());
                        blob(out, bytes(install.members()));
                        out.writeLong(install.offset());
                        blob(out, install.piece());
                        out.writeInt(install.size());
                        out.writeInt(install.sum());
                        out.writeLong(install.round());
                    } else if (message instanceof Message.InstallReply reply) {
                        out.writeByte(6);
                        out.writeLong(reply.term());
                        out.writeLong(reply.index());
                        out.writeLong(reply.offset());
                        out.writeLong(reply.round());
                        out.writeLong(reply.run());
                    } else if (message instanceof Message.Stand stand) {
                        out.writeByte(7);
                        out.writeLong(stand.term());
                    } else if (message instanceof Message.Aside aside) {
                        out.writeByte(8);
                        out.writeLong(aside.term());
                        blob(out, aside.words());
                    }
                });
    }

    public static Message message(byte[] bytes) {
        return read(
                bytes,
                in -> {
                    int kind = in.readByte();
                    return switch (kind) {
                        case 1 ->
                                new Message.Ask(
                                        in.readLong(),
                                        in.readLong(),
                                        in.readLong(),
                                        in.readBoolean(),
                                        in.readBoolean());
                        case 2 ->
                                new Message.AskReply(
                                        in.readLong(), in.readBoolean(), in.readBoolean());
                        case 3 ->
                                new Message.Append(
                                        in.readLong(),
                                        in.readLong(),
                                        in.readLong(),
                                        entries(in),
                                        in.readLong(),
                                        in.readLong(),
                                        in.readLong());
                        case 4 ->
                                new Message.AppendReply(
                                        in.readLong(),
                                        in.readBoolean(),
                                        in.readLong(),
                                        in.readLong(),
                                        in.readLong(),
                                        in.readLong(),
                                        in.readLong());
                        case 5 ->
                                new Message.Install(
                                        in.readLong(),
                                        in.readLong(),
                                        in.readLong(),
                                        members(blob(in)),
                                        in.readLong(),
                                        blob(in),
                                        in.readInt(),
                                        in.readInt(),
                                        in.readLong());
                        case 6 ->
                                new Message.InstallReply(
                                        in.readLong(),
                                        in.readLong(),
                                        in.readLong(),
                                        in.readLong(),
                                        in.readLong());
                        case 7 -> new Message.Stand(in.readLong());
                        case 8 -> new Message.Aside(in.readLong(), blob(in));
                        default -> throw new Unreadable("a message of kind " + kind);
                    };
                });
    }

    private static List<Entry> entries(DataInputStream in) throws IOException {
        int many = in.readInt();
        if (many < 0 || many > MOST_ENTRIES) {
            throw new Unreadable(many + " entries");
        }
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < many; i++) {
            entries.add(entry(in));
        }
        return entries;
    }
}
