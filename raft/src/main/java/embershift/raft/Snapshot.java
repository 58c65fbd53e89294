package embershift.raft;

import java.util.zip.CRC32C;

/** The state after all entries up to {@code index}. {@code sum}: the CRC32C of {@code data}. */
public record Snapshot(long index, long term, Members members, byte[] data, int sum) {

    public static Snapshot of(long index, long term, Members members, byte[] data) {
        return new Snapshot(index, term, members, data, sum(data));
    }

    public static int sum(byte[] data) {
        CRC32C crc = new CRC32C();
        crc.update(data, 0, data.length);
        return (int) crc.getValue();
    }
}
