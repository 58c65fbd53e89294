package embershift.rig.world;

import embershift.raft.Bounds;
import embershift.raft.Codec;
import embershift.raft.Entry;
import embershift.raft.Keeper;
import embershift.raft.Member;
import embershift.raft.MemberId;
import embershift.raft.Members;
import embershift.raft.Message;
import embershift.raft.Outside;
import embershift.raft.Pace;
import embershift.raft.Raft;
import embershift.raft.Restored;
import embershift.raft.Snapshot;
import embershift.raft.Vote;
import embershift.storage.MemoryDisk;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

/** Cases too rare for chance, led step by step: each returns what went wrong, or null. */
public final class Scripts {

    private static final Pace PACE = new Pace(2, 10, 20);

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

    private record Word(MemberId from, MemberId to, Message message) {}

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
            byte[] agreed = Codec.bytes(Members.of(all));
            for (Member member : all) {
                start(
                        member.id(),
                        new Restored(
                                new Vote(1, null),
                                null,
                                List.of(new Entry(1, 1, Entry.Kind.MEMBERS, agreed)),
                                false),
                        1);
            }
        }

        void start(MemberId id, Restored restored, long run) {
            Raft[] raft = new Raft[1];
            raft[0] =
                    new Raft(
                            id,
                            PACE,
                            Bounds.USUAL,
                            restored,
                            run,
                            id.number(),
                            new Outside() {
                                @Override
                                public void send(MemberId to, Message message) {
                                    words.add(new Word(id, to, message));
                                }

                                @Override
                                public void persist(
                                        long number,
                                        Vote vote,
                                        Snapshot snapshot,
                                        boolean alone,
                                        List<Entry> entries) {
                                    // Told by the script.
                                    words.add(new Word(null, id, null));
                                }

                                @Override
                                public void sure() {}

                                @Override
                                public void commit(Entry entry) {}

                                @Override
                                public void restore(Snapshot snapshot) {}

                                @Override
                                public void readable(long ticket, long index) {
                                    readable.add(ticket);
                                }

                                @Override
                                public void unreadable(long ticket) {}

                                @Override
                                public void leads(long term) {}

                                @Override
                                public void follows(long term, MemberId leader) {}

                                @Override
                                public void aside(MemberId from, byte[] said) {}
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
                    members.get(word.to).durable(Long.MAX_VALUE);
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
            for (int i = 0; i < 10 * PACE.election(); i++) {
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
        Raft.Taken one =
                three.at(1).add(new Member(new MemberId(4), "i4", "", Member.Role.LEARNER));
        Raft.Taken other =
                three.at(1).add(new Member(new MemberId(5), "i5", "", Member.Role.LEARNER));
        return one.refusal() != null || other.refusal() == null
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
                        new Message.Append(
                                2,
                                1,
                                1,
                                List.of(
                                        new Entry(2, 2, Entry.Kind.COMMAND, new byte[] {1}),
                                        new Entry(3, 2, Entry.Kind.COMMAND, new byte[] {2})),
                                1,
                                3,
                                0));
        three.words.clear();
        three.at(3).durable(Long.MAX_VALUE);
        // The leader of term 3 has other entries, all agreed, and begins with the one before them.
        three.at(3).receive(new MemberId(2), new Message.Append(3, 1, 1, List.of(), 3, 3, 0));
        return three.at(3).commit() > 1
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
        long had = three.at(1).matchOf(last);
        List<Entry> left = new ArrayList<>();
        for (long i = 1; i <= had - 2; i++) {
            left.add(three.at(3).entry(i));
        }
        three.start(last, new Restored(new Vote(three.at(1).term(), null), null, left, true), 2);
        // It says what it has, and before it is helped the leader must not count what it had.
        three.passes =
                word ->
                        !(word.message instanceof Message.Append append
                                && !append.entries().isEmpty());
        three.tick(1, 2 * PACE.heartbeat());
        return three.at(1).matchOf(last) >= had
                ? "counts what a member had before it lost it"
                : null;
    }

    private static String doubtOutlastsACrash() {
        try {
            MemoryDisk disk = new MemoryDisk();
            Keeper keeper = Keeper.open(disk, 1 << 20);
            keeper.keep(
                    List.of(
                            new Keeper.Order(
                                    1,
                                    new Vote(1, null),
                                    null,
                                    false,
                                    List.of(new Entry(1, 1, Entry.Kind.NOTHING, new byte[0])))));
            String name = disk.names().iterator().next();
            byte[] content = disk.read(name);
            content[content.length - 1] ^= 1;
            disk.put(name, content);
            if (!Keeper.open(disk, 1 << 20).restored().doubtful()) {
                return "a changed end raises no doubt";
            }
            Keeper again = Keeper.open(disk, 1 << 20);
            again.keep(List.of(new Keeper.Order(1, new Vote(2, null), null, false, List.of())));
            return Keeper.open(disk, 1 << 20).restored().doubtful()
                    ? null
                    : "doubt is forgotten over a start";
        } catch (IOException e) {
            return e.toString();
        }
    }
}
