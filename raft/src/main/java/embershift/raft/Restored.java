package embershift.raft;

import java.util.List;

/**
 * What a member finds on its disk as it starts. {@code snapshot} may be null; {@code entries}
 * follow it without a gap, and may begin before it. {@code doubtful}: something that was on disk
 * once is missing at the end: until this member has caught up with a leader again it neither votes
 * nor stands.
 */
public record Restored(Vote vote, Snapshot snapshot, List<Entry> entries, boolean doubtful) {

    public static final Restored EMPTY = new Restored(new Vote(0, null), null, List.of(), false);
}
