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
 * How two instances begin: who speaks, of which group, to whom, and which versions of the words
 * between them it knows. {@code to} 0: only to learn who is there; {@code group} 0: of none yet;
 * {@code address}: where the speaker is reached, for one who does not know the members yet.
 */
record Handshake(
        int oldestVersion,
        int newestVersion,
        long group,
        MemberId sender,
        String senderName,
        MemberId recipient,
        String senderAddress) {

    /** The versions that this program knows. */
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

    /** The newest version that both know, or 0. */
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

    /** What a later version says behind the first fields is left unread. */
    static Handshake decode(byte[] frame) throws FrameCodec.MalformedFrameException {
        try {
            DataInputStream in =
                    new DataInputStream(new ByteArrayInputStream(frame, 1, frame.length - 1));
            if (in.readInt() != MAGIC) {
                throw new FrameCodec.MalformedFrameException("no greeting of an instance");
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
            throw new FrameCodec.MalformedFrameException("a greeting that ends early");
        }
    }
}
