package embershift.fleet.store;

import embershift.raft.MemberId;
import embershift.raft.Membership;
import embershift.raft.Raft;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Compares checksums of the state after certain entries with those of the other members, as the
 * same entries must produce the same state on all of them.
 */
final class StateChecksums {

    /** First byte of the message that carries a checksum. */
    private static final byte CHECKSUM_MESSAGE = 1;

    private static final int MESSAGE_BYTES = 1 + Long.BYTES + Integer.BYTES;
    private static final int MAX_COMPARED_INDEXES = 8;

    private final MemberId self;
    private final TreeMap<Long, Map<MemberId, Integer>> checksumsByIndex = new TreeMap<>();
    private final List<Long> unsentIndexes = new ArrayList<>();

    StateChecksums(MemberId self) {
        this.self = self;
    }

    /** Adds this member's own checksum; returns an error if a majority has a different one. */
    Optional<String> addOwn(long index, int checksum, Membership membership) {
        unsentIndexes.add(index);
        return add(index, self, checksum, membership);
    }

    /**
     * Handles a checksum message from another member; returns an error if a majority differs from
     * this member.
     */
    Optional<String> receive(MemberId from, byte[] message, Membership membership) {
        if (message.length != MESSAGE_BYTES
                || message[0] != CHECKSUM_MESSAGE
                || !membership.isVoter(from)) {
            return Optional.empty();
        }
        ByteBuffer content = ByteBuffer.wrap(message, 1, MESSAGE_BYTES - 1);
        long index = content.getLong();
        return add(index, from, content.getInt(), membership);
    }

    private Optional<String> add(long index, MemberId member, int checksum, Membership membership) {
        Map<MemberId, Integer> checksums =
                checksumsByIndex.computeIfAbsent(index, none -> new HashMap<>());
        checksums.put(member, checksum);
        while (checksumsByIndex.size() > MAX_COMPARED_INDEXES) {
            checksumsByIndex.pollFirstEntry();
        }
        Integer own = checksums.get(self);
        if (own == null) {
            return Optional.empty();
        }
        return checksums.values().stream()
                .filter(other -> !other.equals(own) && isOfMajority(other, checksums, membership))
                .findFirst()
                .map(
                        other ->
                                "the state after entry "
                                        + index
                                        + " differs from that of a majority: "
                                        + Integer.toHexString(own)
                                        + ", theirs "
                                        + Integer.toHexString(other));
    }

    private static boolean isOfMajority(
            Integer checksum, Map<MemberId, Integer> checksums, Membership membership) {
        long voters =
                checksums.entrySet().stream()
                        .filter(each -> membership.isVoter(each.getKey()))
                        .filter(each -> each.getValue().equals(checksum))
                        .count();
        return voters >= membership.quorum();
    }

    /** Sends this member's new checksums to the other voters. */
    void sendNew(Raft raft) {
        for (long index : unsentIndexes) {
            Map<MemberId, Integer> checksums = checksumsByIndex.get(index);
            if (checksums != null) {
                byte[] message =
                        ByteBuffer.allocate(MESSAGE_BYTES)
                                .put(CHECKSUM_MESSAGE)
                                .putLong(index)
                                .putInt(checksums.get(self))
                                .array();
                raft.membership().voters().stream()
                        .filter(voter -> !voter.equals(self))
                        .forEach(voter -> raft.sendApplicationMessage(voter, message));
            }
        }
        unsentIndexes.clear();
    }

    /** Called when a snapshot has replaced all entries up to that index. */
    void forgetThrough(long index) {
        checksumsByIndex.headMap(index, true).clear();
    }
}
