package embershift.raft;

import java.util.TreeMap;

/**
 * The memberships of a group by the index of the entry from which each is in force. The latest one
 * is in force as soon as it is in the log, committed or not (thesis, 4.1).
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

    /** Forgets all before an index, at which this membership is in force. */
    void compactThrough(long index, Membership membership) {
        byIndex.headMap(index, true).clear();
        byIndex.put(index, membership);
    }

    /** Forgets all: from that index on this membership is in force. */
    void reset(long index, Membership membership) {
        byIndex.clear();
        byIndex.put(index, membership);
    }
}
