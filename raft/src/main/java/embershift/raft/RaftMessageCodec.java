package embershift.raft;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The encoding of messages between members: a byte for the message kind, followed by the fields.
 */
public final class RaftMessageCodec {

    private static final int VOTE_REQUEST = 1;
    private static final int VOTE_REPLY = 2;
    private static final int APPEND_REQUEST = 3;
    private static final int APPEND_REPLY = 4;
    private static final int SNAPSHOT_REQUEST = 5;
    private static final int SNAPSHOT_REPLY = 6;
    private static final int TIMEOUT_NOW = 7;
    private static final int APPLICATION_MESSAGE = 8;

    private static final int MAX_ENTRIES = 1 << 16;

    private RaftMessageCodec() {}

    /** Encodes a message. */
    public static byte[] encode(RaftMessage message) {
        return RaftCodec.encode(out -> write(out, message));
    }

    private static void write(DataOutputStream out, RaftMessage message) throws IOException {
        if (message instanceof RaftMessage.VoteRequest request) {
            write(out, request);
        } else if (message instanceof RaftMessage.VoteReply reply) {
            out.writeByte(VOTE_REPLY);
            out.writeLong(reply.term());
            out.writeBoolean(reply.granted());
            out.writeBoolean(reply.preVote());
        } else if (message instanceof RaftMessage.AppendRequest request) {
            write(out, request);
        } else if (message instanceof RaftMessage.AppendReply reply) {
            write(out, reply);
        } else if (message instanceof RaftMessage.SnapshotRequest request) {
            write(out, request);
        } else if (message instanceof RaftMessage.SnapshotReply reply) {
            write(out, reply);
        } else if (message instanceof RaftMessage.TimeoutNow timeoutNow) {
            out.writeByte(TIMEOUT_NOW);
            out.writeLong(timeoutNow.term());
        } else if (message instanceof RaftMessage.ApplicationMessage application) {
            out.writeByte(APPLICATION_MESSAGE);
            out.writeLong(application.term());
            RaftCodec.writeBytes(out, application.payload());
        }
    }

    private static void write(DataOutputStream out, RaftMessage.VoteRequest request)
            throws IOException {
        out.writeByte(VOTE_REQUEST);
        out.writeLong(request.term());
        out.writeLong(request.lastIndex());
        out.writeLong(request.lastTerm());
        out.writeBoolean(request.preVote());
        out.writeBoolean(request.leadershipTransfer());
    }

    private static void write(DataOutputStream out, RaftMessage.AppendRequest request)
            throws IOException {
        out.writeByte(APPEND_REQUEST);
        out.writeLong(request.term());
        out.writeLong(request.previousIndex());
        out.writeLong(request.previousTerm());
        out.writeInt(request.entries().size());
        for (LogEntry entry : request.entries()) {
            RaftCodec.writeEntry(out, entry);
        }
        out.writeLong(request.leaderCommit());
        out.writeLong(request.lastIndex());
        out.writeLong(request.heartbeatRound());
    }

    private static void write(DataOutputStream out, RaftMessage.AppendReply reply)
            throws IOException {
        out.writeByte(APPEND_REPLY);
        out.writeLong(reply.term());
        out.writeBoolean(reply.success());
        out.writeLong(reply.index());
        out.writeLong(reply.conflictIndex());
        out.writeLong(reply.conflictTerm());
        out.writeLong(reply.heartbeatRound());
        out.writeLong(reply.incarnation());
    }

    private static void write(DataOutputStream out, RaftMessage.SnapshotRequest request)
            throws IOException {
        out.writeByte(SNAPSHOT_REQUEST);
        out.writeLong(request.term());
        out.writeLong(request.snapshotIndex());
        out.writeLong(request.snapshotTerm());
        RaftCodec.writeBytes(out, RaftCodec.encode(request.membership()));
        out.writeLong(request.offset());
        RaftCodec.writeBytes(out, request.chunk());
        out.writeInt(request.totalBytes());
        out.writeInt(request.checksum());
        out.writeLong(request.heartbeatRound());
    }

    private static void write(DataOutputStream out, RaftMessage.SnapshotReply reply)
            throws IOException {
        out.writeByte(SNAPSHOT_REPLY);
        out.writeLong(reply.term());
        out.writeLong(reply.snapshotIndex());
        out.writeLong(reply.nextOffset());
        out.writeLong(reply.heartbeatRound());
        out.writeLong(reply.incarnation());
    }

    /**
     * Decodes a message.
     *
     * @throws MalformedBytesException if the bytes are malformed
     */
    public static RaftMessage decode(byte[] bytes) {
        return RaftCodec.decode(bytes, RaftMessageCodec::read);
    }

    // Relies on the evaluation order of arguments, which is the field order of the message.
    private static RaftMessage read(DataInputStream in) throws IOException {
        int kind = in.readByte();
        return switch (kind) {
            case VOTE_REQUEST ->
                    new RaftMessage.VoteRequest(
                            in.readLong(),
                            in.readLong(),
                            in.readLong(),
                            in.readBoolean(),
                            in.readBoolean());
            case VOTE_REPLY ->
                    new RaftMessage.VoteReply(in.readLong(), in.readBoolean(), in.readBoolean());
            case APPEND_REQUEST ->
                    new RaftMessage.AppendRequest(
                            in.readLong(),
                            in.readLong(),
                            in.readLong(),
                            readEntries(in),
                            in.readLong(),
                            in.readLong(),
                            in.readLong());
            case APPEND_REPLY ->
                    new RaftMessage.AppendReply(
                            in.readLong(),
                            in.readBoolean(),
                            in.readLong(),
                            in.readLong(),
                            in.readLong(),
                            in.readLong(),
                            in.readLong());
            case SNAPSHOT_REQUEST -> readSnapshotRequest(in);
            case SNAPSHOT_REPLY ->
                    new RaftMessage.SnapshotReply(
                            in.readLong(),
                            in.readLong(),
                            in.readLong(),
                            in.readLong(),
                            in.readLong());
            case TIMEOUT_NOW -> new RaftMessage.TimeoutNow(in.readLong());
            case APPLICATION_MESSAGE ->
                    new RaftMessage.ApplicationMessage(in.readLong(), RaftCodec.readBytes(in));
            default -> throw new MalformedBytesException("unknown message kind " + kind);
        };
    }

    private static RaftMessage.SnapshotRequest readSnapshotRequest(DataInputStream in)
            throws IOException {
        return new RaftMessage.SnapshotRequest(
                in.readLong(),
                in.readLong(),
                in.readLong(),
                RaftCodec.decodeMembership(RaftCodec.readBytes(in)),
                in.readLong(),
                RaftCodec.readBytes(in),
                in.readInt(),
                in.readInt(),
                in.readLong());
    }

    private static List<LogEntry> readEntries(DataInputStream in) throws IOException {
        int count = in.readInt();
        if (count < 0 || count > MAX_ENTRIES) {
            throw new MalformedBytesException(count + " is not a valid entry count");
        }
        List<LogEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(RaftCodec.readEntry(in));
        }
        return entries;
    }
}
