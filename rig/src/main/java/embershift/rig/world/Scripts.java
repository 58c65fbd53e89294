package embershift.rig.world;

import embershift.raft.HardState;
import embershift.raft.LogEntry;
import embershift.raft.Member;
import embershift.raft.MemberId;
import embershift.raft.Membership;
import embershift.raft.ProposeResult;
import embershift.raft.Raft;
import embershift.raft.RaftCodec;
import embershift.raft.RaftEnvironment;
import embershift.raft.RaftLimits;
import embershift.raft.RaftMessage;
import embershift.raft.RaftPersistence;
import embershift.raft.RaftTiming;
import embershift.raft.RecoveredState;
import embershift.raft.Snapshot;
import embershift.raft.WriteRequest;
import embershift.storage.MemoryDisk;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

/** Cases too rare for chance, led step by step: each returns what went wrong, or null. */
public final class Scripts {

    private static final RaftTiming PACE = new RaftTiming(2, 10, 20);

    private Scripts() {}

    /** What all scripts find, as one text, or null. */
    public static String firstBroken() {
        List<String> all = new ArrayList<>();
        all.add(readAtALeaderOfThePast());
        all.add(twoChangesAtATime());
        all.add(followerWithMoreThanItWasSent());
        all.add(memberThatLostItsEnd());
        all.add(doubtOutlastsACrash());
        return all.stream().filter(found -> found != null).findFirst().orElse(null);
    }

    private record Word(MemberId from, MemberId to, RaftMessage message) {}

    /** Three members in one hand; what they say is passed on where {@code passes} lets it. */
    private static final class Three {
        private final TreeMap<MemberId, Raft> members = new TreeMap<>();
        private final Deque<Word> words = new ArrayDeque<>();
        private final Set<Long> readable = new HashSet<>();
        private Predicate<Word> passes = word -> true;

        Three() {
            List<Member> all = new ArrayList<>();
            for (long id = 1; id <= 3; id++) {
                all.add(new Member(new MemberId(id), "i" + id, "", Member.Role.VOTER));
            }
            byte[] agreed = RaftCodec.encode(Membership.of(all));
            for (Member member : all) {
                start(
                        member.id(),
                        new RecoveredState(
                                new HardState(1, MemberId.NONE),
                                Optional.empty(),
                                List.of(new LogEntry(1, 1, LogEntry.Kind.MEMBERSHIP, agreed)),
                                false),
                        1);
            }
        }

        void start(MemberId id, RecoveredState restored, long run) {
            Raft[] raft = new Raft[1];
            raft[0] =
                    new Raft(
                            id,
                            PACE,
                            RaftLimits.DEFAULTS,
                            restored,
                            run,
                            id.number(),
                            new RaftEnvironment() {
                                @Override
                                public void send(MemberId to, RaftMessage message) {
                                    words.add(new Word(id, to, message));
                                }

                                @Override
                                public void persist(WriteRequest request) {
                                    // Told by the script.
                                    words.add(new Word(null, id, null));
                                }

                                @Override
                                public void stateTrusted() {}

                                @Override
                                public void committed(LogEntry entry) {}

                                @Override
                                public void restored(Snapshot snapshot) {}

                                @Override
                                public void readReady(long ticket, long index) {
                                    readable.add(ticket);
                                }

                                @Override
                                public void readRejected(long ticket) {}

                                @Override
                                public void becameLeader(long term) {}

                                @Override
                                public void becameFollower(long term, Optional<MemberId> leader) {}

                                @Override
                                public void applicationMessage(MemberId from, byte[] said) {}
                            });
            members.put(id, raft[0]);
        }

        Raft at(long id) {
            return members.get(new MemberId(id));
        }

        /** Until nobody has anything to say. */
        void settle() {
            while (!words.isEmpty()) {
                Word word = words.remove();
                if (word.from == null) {
                    members.get(word.to).writesCompleted(Long.MAX_VALUE);
                } else if (passes.test(word)) {
                    members.get(word.to).receive(word.from, word.message);
                }
            }
        }

        void tick(long id, int many) {
            for (int i = 0; i < many; i++) {
                at(id).tick();
                settle();
            }
        }

        /** Time passes for these alone until one of them leads; which one, or 0. */
        long elect(long... some) {
            for (int i = 0; i < 10 * PACE.electionTicks(); i++) {
                for (long id : some) {
                    tick(id, 1);
                    if (at(id).role() == Raft.Role.LEADER) {
                        return id;
                    }
                }
            }
            return 0;
        }
    }

    private static String readAtALeaderOfThePast() {
        Three three = new Three();
        three.elect(1);
        MemberId first = new MemberId(1);
        three.passes = word -> !word.from.equals(first) && !word.to.equals(first);
        long second = three.elect(2, 3);
        if (three.at(1).role() != Raft.Role.LEADER || second == 0) {
            return "script: there are no two that think they lead";
        }
        three.at(second).propose(new byte[] {1});
        three.settle();
        three.at(1).read(7);
        three.settle();
        return three.readable.contains(7L) ? "a leader of the past answers a read" : null;
    }

    private static String twoChangesAtATime() {
        Three three = new Three();
        three.elect(1);
        three.passes = word -> false;
        ProposeResult one =
                three.at(1).addMember(new Member(new MemberId(4), "i4", "", Member.Role.LEARNER));
        ProposeResult other =
                three.at(1).addMember(new Member(new MemberId(5), "i5", "", Member.Role.LEARNER));
        return one instanceof ProposeResult.Rejected || other instanceof ProposeResult.Accepted
                ? "two changes of members are out: " + one + " " + other
                : null;
    }

    private static String followerWithMoreThanItWasSent() {
        Three three = new Three();
        MemberId one = new MemberId(1);
        // From a leader of term 2, never agreed.
        three.at(3)
                .receive(
                        one,
                        new RaftMessage.AppendRequest(
                                2,
                                1,
                                1,
                                List.of(
                                        new LogEntry(2, 2, LogEntry.Kind.COMMAND, new byte[] {1}),
                                        new LogEntry(3, 2, LogEntry.Kind.COMMAND, new byte[] {2})),
                                1,
                                3,
                                0));
        three.words.clear();
        three.at(3).writesCompleted(Long.MAX_VALUE);
        // The leader of term 3 has other entries, all agreed, and begins with the one before them.
        three.at(3)
                .receive(
                        new MemberId(2),
                        new RaftMessage.AppendRequest(3, 1, 1, List.of(), 3, 3, 0));
        return three.at(3).commitIndex() > 1
                ? "entries that nobody sent in this term are taken for agreed"
                : null;
    }

    private static String memberThatLostItsEnd() {
        Three three = new Three();
        three.elect(1);
        for (byte i = 0; i < 5; i++) {
            three.at(1).propose(new byte[] {i});
        }
        three.settle();
        MemberId last = new MemberId(3);
        long had = three.at(1).matchIndexOf(last);
        List<LogEntry> left = new ArrayList<>();
        for (long i = 1; i <= had - 2; i++) {
            left.add(three.at(3).entry(i).orElseThrow());
        }
        three.start(
                last,
                new RecoveredState(
                        new HardState(three.at(1).term(), MemberId.NONE),
                        Optional.empty(),
                        left,
                        true),
                2);
        // It says what it has, and before it is helped the leader must not count what it had.
        three.passes =
                word ->
                        !(word.message instanceof RaftMessage.AppendRequest append
                                && !append.entries().isEmpty());
        three.tick(1, 2 * PACE.heartbeatTicks());
        return three.at(1).matchIndexOf(last) >= had
                ? "counts what a member had before it lost it"
                : null;
    }

    private static String doubtOutlastsACrash() {
        try {
            MemoryDisk disk = new MemoryDisk();
            RaftPersistence keeper = RaftPersistence.open(disk, 1 << 20);
            keeper.write(
                    List.of(
                            new WriteRequest(
                                    1,
                                    Optional.of(new HardState(1, MemberId.NONE)),
                                    Optional.empty(),
                                    false,
                                    List.of(
                                            new LogEntry(
                                                    1, 1, LogEntry.Kind.NO_OP, new byte[0])))));
            String name = disk.fileNames().iterator().next();
            byte[] content = disk.read(name);
            content[content.length - 1] ^= 1;
            disk.put(name, content);
            if (!RaftPersistence.open(disk, 1 << 20).takeRecovered().isUntrusted()) {
                return "a changed end raises no doubt";
            }
            RaftPersistence again = RaftPersistence.open(disk, 1 << 20);
            again.write(
                    List.of(
                            new WriteRequest(
                                    1,
                                    Optional.of(new HardState(2, MemberId.NONE)),
                                    Optional.empty(),
                                    false,
                                    List.of())));
            return RaftPersistence.open(disk, 1 << 20).takeRecovered().isUntrusted()
                    ? null
                    : "doubt is forgotten over a start";
        } catch (IOException e) {
            return e.toString();
        }
    }
}
