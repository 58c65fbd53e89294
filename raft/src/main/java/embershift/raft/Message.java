package embershift.raft;

import java.util.List;

/**
 * What members tell each other. {@code term}: the sender's, but for a vote asked for ahead of a
 * term.
 */
public sealed interface Message {

    long term();

    /**
     * Asks for a vote; {@code ahead}: only whether there would be one, without any promise; {@code
     * forced}: the leader itself wants this, so nobody need wait for its silence.
     */
    record Ask(long term, long lastIndex, long lastTerm, boolean ahead, boolean forced)
            implements Message {}

    record AskReply(long term, boolean granted, boolean ahead) implements Message {}

    /**
     * Entries that follow {@code before}; {@code commit}: all that is agreed; {@code last}: the
     * leader's last entry; {@code round}: to be said back, for reads.
     */
    record Append(
            long term,
            long before,
            long beforeTerm,
            List<Entry> entries,
            long commit,
            long last,
            long round)
            implements Message {}

    /**
     * {@code ok}: all up to {@code index} is on disk here as the leader has it. If not, {@code
     * index} is the {@code before} refused, and up to {@code hint}, of {@code hintTerm}, the logs
     * may agree. {@code run}: another one after each start of the member.
     */
    record AppendReply(
            long term, boolean ok, long index, long hint, long hintTerm, long round, long run)
            implements Message {}

    /**
     * A piece of a snapshot; {@code members} as of it, {@code size} and {@code sum} of the whole.
     */
    record Install(
            long term,
            long index,
            long indexTerm,
            Members members,
            long offset,
            byte[] piece,
            int size,
            int sum,
            long round)
            implements Message {}

    /** {@code offset}: where the next piece is to begin. */
    record InstallReply(long term, long index, long offset, long round, long run)
            implements Message {}

    /** Stand now: the leader hands over. */
    record Stand(long term) implements Message {}

    /** Words of those who use the agreement, carried beside it; they change nothing in it. */
    record Aside(long term, byte[] words) implements Message {}
}
