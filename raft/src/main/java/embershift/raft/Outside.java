package embershift.raft;

import java.util.List;

/** What a member of the group has done for it. None of these may call back. */
public interface Outside {

    /**
     * May be lost, late, doubled and reordered; never changed, and never handed to a later run of
     * the receiver.
     */
    void send(MemberId to, Message message);

    /**
     * To be on disk, in the order of the numbers; {@link Raft#durable} is owed for each. A null
     * {@code vote} or {@code snapshot} changes nothing there. An entry takes the place of the one
     * at its index and of all behind it. A snapshot comes before the entries; with {@code alone},
     * it takes the place of the whole log.
     */
    void persist(long number, Vote vote, Snapshot snapshot, boolean alone, List<Entry> entries);

    /**
     * What this member was in doubt of is on disk again; until this is, too, a start finds it in
     * doubt.
     */
    void sure();

    /** Agreed: each place once, in order, from the first behind the last {@code restore} on. */
    void commit(Entry entry);

    /** From now on the state is this one. */
    void restore(Snapshot snapshot);

    /** The state after this place, or any later one, answers the read. */
    void readable(long ticket, long index);

    /** This member can't answer the read. */
    void unreadable(long ticket);

    /** This member leads in this term from now on. */
    void leads(long term);

    /** This member follows in this term: {@code leader}, or nobody yet where that is null. */
    void follows(long term, MemberId leader);

    /** Words came beside the agreement. */
    void aside(MemberId from, byte[] words);
}
