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
 * The big-endian encoding of the state that a member keeps on disk; {@link RaftMessageCodec}
 * encodes messages. Malformed input is rejected.
 */
public final class RaftCodec {

    private static final int MEMBERSHIP_VERSION = 1;

    private RaftCodec() {}

    /** Writes a value to a stream. */
    public interface Encoder {

        /** Writes the value. */
        void writeTo(DataOutputStream out) throws IOException;
    }

    interface Decoder<T> {

        T readFrom(DataInputStream in) throws IOException;
    }

    /** Returns the bytes written by an encoder. */
    public static byte[] encode(Encoder encoder) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            encoder.writeTo(new DataOutputStream(bytes));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /**
     * Decodes a value that occupies all of the bytes.
     *
     * @throws MalformedBytesException if bytes are missing, left over or malformed
     */
    static <T> T decode(byte[] bytes, Decoder<T> decoder) {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        try {
            T value = decoder.readFrom(in);
            if (in.read() >= 0) {
                throw new MalformedBytesException("unexpected bytes after the end of the value");
            }
            return value;
        } catch (IOException e) {
            throw new MalformedBytesException("unexpected end of data");
        }
    }

    static void writeBytes(DataOutputStream out, byte[] bytes) throws IOException {
        out.writeInt(bytes.length);
        out.write(bytes);
    }

    static byte[] readBytes(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length < 0 || length > in.available()) {
            throw new MalformedBytesException("invalid length " + length);
        }
        return in.readNBytes(length);
    }

    /** Encodes a membership. */
    public static byte[] encode(Membership membership) {
        return encode(
                out -> {
                    out.writeByte(MEMBERSHIP_VERSION);
                    out.writeInt(membership.size());
                    for (Member member : membership.members()) {
                        out.writeLong(member.id().number());
                        out.writeUTF(member.name());
                        out.writeUTF(member.address());
                        out.writeByte(member.role().code());
                    }
                });
    }

    /**
     * Decodes a membership.
     *
     * @throws MalformedBytesException if the bytes are malformed
     */
    public static Membership decodeMembership(byte[] bytes) {
        return decode(bytes, RaftCodec::readMembership);
    }

    private static Membership readMembership(DataInputStream in) throws IOException {
        int version = in.readByte();
        if (version != MEMBERSHIP_VERSION) {
            throw new MalformedBytesException("unsupported membership version " + version);
        }
        int count = in.readInt();
        if (count < 0 || count > Membership.MAX_MEMBERS) {
            throw new MalformedBytesException(count + " is not a valid member count");
        }
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            MemberId id = new MemberId(in.readLong());
            String name = in.readUTF();
            String address = in.readUTF();
            members.add(new Member(id, name, address, Member.Role.fromCode(in.readByte())));
        }
        return Membership.of(members);
    }

    /** Encodes an entry. */
    public static byte[] encode(LogEntry entry) {
        return encode(out -> writeEntry(out, entry));
    }

    static void writeEntry(DataOutputStream out, LogEntry entry) throws IOException {
        out.writeLong(entry.index());
        out.writeLong(entry.term());
        out.writeByte(entry.kind().code());
        writeBytes(out, entry.data());
    }

    /**
     * Decodes an entry.
     *
     * @throws MalformedBytesException if the bytes are malformed
     */
    public static LogEntry decodeEntry(byte[] bytes) {
        return decode(bytes, RaftCodec::readEntry);
    }

    static LogEntry readEntry(DataInputStream in) throws IOException {
        long index = in.readLong();
        long term = in.readLong();
        LogEntry.Kind kind = LogEntry.Kind.fromCode(in.readByte());
        return new LogEntry(index, term, kind, readBytes(in));
    }

    /** Encodes a hard state. */
    public static byte[] encode(HardState hardState) {
        return encode(
                out -> {
                    out.writeLong(hardState.term());
                    out.writeLong(hardState.votedFor().number());
                });
    }

    /**
     * Decodes a hard state.
     *
     * @throws MalformedBytesException if the bytes are malformed
     */
    public static HardState decodeHardState(byte[] bytes) {
        return decode(bytes, in -> new HardState(in.readLong(), new MemberId(in.readLong())));
    }

    /** Encodes a snapshot. */
    public static byte[] encode(Snapshot snapshot) {
        return encode(
                out -> {
                    out.writeLong(snapshot.index());
                    out.writeLong(snapshot.term());
                    writeBytes(out, encode(snapshot.membership()));
                    out.writeInt(snapshot.checksum());
                    writeBytes(out, snapshot.data());
                });
    }

    /**
     * Decodes a snapshot. Does not verify the checksum of its data.
     *
     * @throws MalformedBytesException if the bytes are malformed
     */
    public static Snapshot decodeSnapshot(byte[] bytes) {
        return decode(
                bytes,
                in -> {
                    long index = in.readLong();
                    long term = in.readLong();
                    Membership membership = decodeMembership(readBytes(in));
                    int checksum = in.readInt();
                    return new Snapshot(index, term, membership, readBytes(in), checksum);
                });
    }
}
