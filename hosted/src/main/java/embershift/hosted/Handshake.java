package embershift.hosted;

import embershift.door.FrameCodec;
import embershift.raft.MemberId;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * The first message between two instances, in both directions.
 *
 * @param oldestVersion the oldest protocol version that the sender supports
 * @param newestVersion the newest one
 * @param group the sender's group; 0 if it belongs to none yet
 * @param recipient 0 if the sender only wants to learn the recipient's identity
 * @param senderAddress the address of the sender, for a recipient that knows no members yet
 */
record Handshake(
        int oldestVersion,
        int newestVersion,
        long group,
        MemberId sender,
        String senderName,
        MemberId recipient,
        String senderAddress) {

    /** The protocol versions that this program supports. */
    static final int OLDEST_VERSION = 1;

    static final int NEWEST_VERSION = 1;
    private static final int MAGIC = 0x454d4231;

    static Handshake of(
            long group,
            MemberId sender,
            String senderName,
            MemberId recipient,
            String senderAddress) {
        return new Handshake(
                OLDEST_VERSION,
                NEWEST_VERSION,
                group,
                sender,
                senderName,
                recipient,
                senderAddress);
    }

    /** Returns the newest version that both support, or 0. */
    static int negotiatedVersion(int oldestOfOther, int newestOfOther) {
        int version = Math.min(newestOfOther, NEWEST_VERSION);
        return version >= Math.max(oldestOfOther, OLDEST_VERSION) ? version : 0;
    }

    byte[] encode() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeInt(MAGIC);
            out.writeByte(oldestVersion);
            out.writeByte(newestVersion);
            out.writeLong(group);
            out.writeLong(sender.number());
            out.writeUTF(senderName);
            out.writeLong(recipient.number());
            out.writeUTF(senderAddress);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /** Reads a handshake; further fields that a later version appends are ignored. */
    static Handshake decode(byte[] frame) throws FrameCodec.MalformedFrameException {
        try {
            DataInputStream in =
                    new DataInputStream(new ByteArrayInputStream(frame, 1, frame.length - 1));
            if (in.readInt() != MAGIC) {
                throw new FrameCodec.MalformedFrameException("not a handshake of an instance");
            }
            return new Handshake(
                    in.readByte(),
                    in.readByte(),
                    in.readLong(),
                    new MemberId(in.readLong()),
                    in.readUTF(),
                    new MemberId(in.readLong()),
                    in.readUTF());
        } catch (IOException e) {
            throw new FrameCodec.MalformedFrameException("truncated handshake");
        }
    }
}
