package embershift.raft;

import java.util.TreeMap;

/**
 * The memberships of a group, by the log index from which each takes effect. The latest one takes
 * effect as soon as it is in the log, committed or not (thesis, 4.1).
 */
final class MembershipHistory {

    private final TreeMap<Long, Membership> byIndex = new TreeMap<>();

    MembershipHistory(long index, Membership membership) {
        byIndex.put(index, membership);
    }

    Membership latest() {
        return byIndex.lastEntry().getValue();
    }

    long latestIndex() {
        return byIndex.lastKey();
    }

    Membership at(long index) {
        return byIndex.floorEntry(index).getValue();
    }

    void add(long index, Membership membership) {
        byIndex.put(index, membership);
    }

    void truncateFrom(long index) {
        byIndex.tailMap(index, true).clear();
    }

    /** Drops all up to an index, at which the given membership is in effect. */
    void compactThrough(long index, Membership membership) {
        byIndex.headMap(index, true).clear();
        byIndex.put(index, membership);
    }

    /** Drops all; the given membership is in effect from the given index on. */
    void reset(long index, Membership membership) {
        byIndex.clear();
        byIndex.put(index, membership);
    }
}
