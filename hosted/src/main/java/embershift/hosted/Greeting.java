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
record Greeting(
        int oldest,
        int newest,
        long group,
        MemberId from,
        String name,
        MemberId to,
        String address) {

    /** The versions that this program knows. */
    static final int OLDEST = 1;

    static final int NEWEST = 1;
    private static final int MAGIC = 0x454d4231;

    static Greeting of(long group, MemberId from, String name, MemberId to, String address) {
        return new Greeting(OLDEST, NEWEST, group, from, name, to, address);
    }

    /** The newest version that both know, or 0. */
    static int common(int oldest, int newest) {
        int best = Math.min(newest, NEWEST);
        return best >= Math.max(oldest, OLDEST) ? best : 0;
    }

    byte[] bytes() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeInt(MAGIC);
            out.writeByte(oldest);
            out.writeByte(newest);
            out.writeLong(group);
            out.writeLong(from.number());
            out.writeUTF(name);
            out.writeLong(to.number());
            out.writeUTF(address);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /** What a later version says behind the first fields is left unread. */
    static Greeting read(byte[] piece) throws FrameCodec.MalformedFrameException {
        try {
            DataInputStream in =
                    new DataInputStream(new ByteArrayInputStream(piece, 1, piece.length - 1));
            if (in.readInt() != MAGIC) {
                throw new FrameCodec.MalformedFrameException("no greeting of an instance");
            }
            return new Greeting(
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
