package embershift.rig;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import embershift.rig.world.Scripts;
import embershift.rig.world.World;
import embershift.rig.world.Worlds;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Simulated worlds: nothing breaks in them, and known mistakes do not get through. */
public class WorldsTest {

    private static final long WORLDS = 1500;

    /** Worlds within which each mistake has to show. */
    private static final long LOOK = 2000;

    /** What the worlds have to reach, or they prove nothing. */
    private static final List<String> REACHED =
            List.of(
                    "elections won",
                    "conflicts cut",
                    "snapshots in place of a log",
                    "snapshot pieces",
                    "members taken in",
                    "members taken out",
                    "crashes",
                    "torn writes cut",
                    "started in doubt",
                    "doubts cleared",
                    "folders lost",
                    "hand-overs asked for",
                    "sessions found ended",
                    "writes without room",
                    "PUT UNKNOWN",
                    "SWAP REFUSED");

    @Test
    public void nothingBreaksWhateverFails() {
        Worlds.Sum sum = Worlds.play(1, WORLDS, done -> {});
        assertNull(sum.broken(), String.valueOf(sum.broken()));
        for (String what : REACHED) {
            assertTrue(sum.reached().getOrDefault(what, 0L) >= 20, what + " in " + sum.reached());
        }
        // Some are past what the search can judge; most must not be.
        assertTrue(
                sum.reached().getOrDefault("histories too tangled to judge", 0L) < WORLDS / 20,
                sum.reached().toString());
    }

    @Test
    public void casesTooRareForChanceAreSound() {
        assertNull(Scripts.firstBroken());
    }

    @Test
    public void worldIsTheSameEachTime() {
        World.Report once = World.play(5);
        assertEquals(World.play(5), once);
    }

    /**
     * Where a mistake was seen to show: looked at first, as a search takes long. After a change of
     * the code it may not be there.
     */
    private static final Map<String, Long> SHOWN =
            Map.ofEntries(
                    Map.entry("vote not persisted", 1868L),
                    Map.entry("term not persisted", 137L),
                    Map.entry("entry of an earlier term agreed by count", 630L),
                    Map.entry("promise before it is on disk", 657L),
                    Map.entry("leader counts what it has not on disk", 1627L),
                    Map.entry("read before anything of the term is agreed", 588L),
                    Map.entry("vote for a log that is behind", 626L),
                    Map.entry("member in doubt votes", 1782L),
                    Map.entry("two votes in a term", 1813L),
                    Map.entry("conflict not cut", 876L),
                    Map.entry("acknowledges its whole log", 896L),
                    Map.entry("half is a majority", 1813L),
                    Map.entry("snapshot over a log that differs", 1702L),
                    Map.entry("not forced", 626L),
                    Map.entry("vote lost with the oldest file", 137L),
                    Map.entry("snapshot that forgets sessions", 251L),
                    Map.entry("command carried out again", 1813L),
                    Map.entry("torn write not cut", 876L));

    private static Path source(String where) {
        String module = where.substring(0, where.indexOf('/'));
        return Path.of("..", module, "src/main/java/embershift", where + ".java");
    }

    @DataProvider
    public Object[][] mistakes() {
        return new Object[][] {
            {
                "vote not persisted",
                "raft/ElectionProtocol",
                "state.votedFor = from; state.writeHardState();",
                "state.votedFor = from;"
            },
            {
                "term not persisted",
                "raft/ElectionProtocol",
                "state.votedFor = MemberId.NONE; state.writeHardState();",
                "state.votedFor = MemberId.NONE;"
            },
            {
                "entry of an earlier term agreed by count",
                "raft/Leadership",
                "if (index > state.commitIndex && state.log.termAt(index) == state.term) {",
                "if (index > state.commitIndex) {"
            },
            {
                "promise before it is on disk",
                "raft/RaftState",
                "writes.whenDurable(() -> environment.send(to, message));",
                "environment.send(to, message);"
            },
            {
                "leader counts what it has not on disk",
                "raft/Replication",
                "return state.writes.durableIndex();",
                "return state.log.lastIndex();"
            },
            {
                "read without a round",
                "raft/ReadRequests",
                "if (!replication.hasQuorumSince(activeRound)) {",
                "if (false) {"
            },
            {
                "read before anything of the term is agreed",
                "raft/ReadRequests",
                "|| queuedTickets.isEmpty() || state.commitIndex < state.termStartIndex) {",
                "|| queuedTickets.isEmpty()) {"
            },
            {
                "vote for a log that is behind",
                "raft/ElectionProtocol",
                "return hasVote && isUpToDate && !state.isUntrusted",
                "return hasVote && !state.isUntrusted"
            },
            {
                "member in doubt votes",
                "raft/ElectionProtocol",
                "return hasVote && isUpToDate && !state.isUntrusted",
                "return hasVote && isUpToDate"
            },
            {
                "two votes in a term",
                "raft/ElectionProtocol",
                "|| candidate.equals(state.votedFor) || (!state.votedFor.isPresent() && !state.hasLeader());",
                "|| candidate.equals(state.votedFor) || !state.hasLeader();"
            },
            {
                "conflict not cut",
                "raft/FollowerLog",
                "if (entry.index() <= log.lastIndex() && log.termAt(entry.index()) != entry.term()) {",
                "if (false) {"
            },
            {
                "agrees to more than it has",
                "raft/FollowerLog",
                "Math.min(request.leaderCommit(), matchIndex)",
                "Math.min(request.leaderCommit(), log.lastIndex())"
            },
            {
                "acknowledges its whole log",
                "raft/FollowerLog",
                "acknowledge(leader, matchIndex, request.heartbeatRound());",
                "acknowledge(leader, log.lastIndex(), request.heartbeatRound());"
            },
            {
                "match kept over a start of the member",
                "raft/FollowerProgress",
                "if (incarnation != 0) {",
                "if (false) {"
            },
            {
                "half is a majority",
                "raft/Membership",
                "return voters.size() / 2 + 1;",
                "return (voters.size() + 1) / 2;"
            },
            {
                "two changes of members at a time",
                "raft/MembershipChanges",
                "|| state.memberships.latestIndex() > state.commitIndex",
                ""
            },
            {
                "snapshot over a log that differs",
                "raft/FollowerLog",
                "boolean replacesLog = state.log.termAt(index) != snapshot.term();",
                "boolean replacesLog = state.log.lastIndex() < index;"
            },
            {"not forced", "raft/RaftPersistence", "log.force();", ""},
            {
                "doubt not kept",
                "raft/RaftPersistence",
                "ChecksummedFile.write(disk, UNTRUSTED_MARKER, new byte[0]);",
                ""
            },
            {
                "vote lost with the oldest file",
                "raft/RaftPersistence",
                "records.add(0, record(0, HARD_STATE, RaftCodec.encode(hardState)));",
                ""
            },
            {
                "snapshot that forgets sessions",
                "fleet/store/KeyValueStore",
                "return StoreCodec.encodeSnapshot( revision, appliedIndex, keyValues.values(), sessions.values());",
                "return StoreCodec.encodeSnapshot( revision, appliedIndex, keyValues.values(), List.of());"
            },
            {
                "command carried out again",
                "fleet/store/KeyValueStore",
                "if (previous != null) { return previous;",
                "if (false) { return previous;"
            },
            {"torn write not cut", "storage/LogRecovery", "hasTornEnd = true;", ""},
        };
    }

    @Test(dataProvider = "mistakes")
    public void knownMistakeShows(String name, String where, String from, String to)
            throws Exception {
        try (Mutation mutation = new Mutation(source(where), from, to)) {
            Object broken =
                    SHOWN.containsKey(name)
                            ? mutation.firstBroken("Worlds", SHOWN.get(name), 1)
                            : null;
            broken = broken == null ? mutation.firstBroken("Worlds", 1, LOOK) : broken;
            assertNotNull(broken, name + ": not seen in " + LOOK + " worlds");
            System.out.println(
                    name
                            + ": "
                            + broken.toString()
                                    .substring(0, Math.min(110, broken.toString().length())));
        }
    }
}
