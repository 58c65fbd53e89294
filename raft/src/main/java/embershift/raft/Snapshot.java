package embershift.raft;

import java.util.zip.CRC32C;

/**
 * The state of the state machine after all entries up to and including {@code index}.
 *
 * @param index the index of the last included entry
 * @param term the term of that entry
 * @param membership the membership as of that entry
 * @param checksum the CRC-32C of {@code data}
 */
public record Snapshot(long index, long term, Membership membership, byte[] data, int checksum) {

    /** Creates a snapshot with the checksum of its data. */
    public static Snapshot of(long index, long term, Membership membership, byte[] data) {
        return new Snapshot(index, term, membership, data, checksum(data));
    }

    boolean hasValidChecksum() {
        return checksum(data) == checksum;
    }

    /** Returns the CRC-32C of a state; members compare their states by it. */
    public static int checksum(byte[] data) {
        CRC32C crc = new CRC32C();
        crc.update(data, 0, data.length);
        return (int) crc.getValue();
    }
}
