package embershift.storage;

import embershift.storage.RecordLog.NewRecord;
import embershift.storage.RecordLog.StoredRecord;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * The byte layout of a {@link RecordLog}'s files, big-endian. A file is a header (magic, version,
 * number of its first record, CRC-32C of these) and records. A record is a header (length of what
 * follows it, number, CRC-32C of both, CRC-32C of what follows), an eight-byte retention key and
 * the body. The two checksums distinguish a record that was cut off while it was written, whose
 * header is intact, from one that was corrupted on disk.
 */
final class LogFileFormat {

    static final int FILE_HEADER_BYTES = 24;
    static final int RECORD_HEADER_BYTES = 20;

    private static final long MAGIC = 0x454d424c4f470001L;
    private static final int VERSION = 1;
    private static final int CHECKSUM_BYTES = Integer.BYTES;
    private static final int CHECKED_HEADER_BYTES = Integer.BYTES + Long.BYTES;

    private LogFileFormat() {}

    static ByteBuffer fileHeader(long firstRecord) {
        ByteBuffer header = ByteBuffer.allocate(FILE_HEADER_BYTES);
        header.putLong(MAGIC).putInt(VERSION).putLong(firstRecord);
        header.putInt(Crc32c.of(header.array(), 0, FILE_HEADER_BYTES - CHECKSUM_BYTES));
        return header.flip();
    }

    static void checkFileHeader(String name, byte[] file, long firstRecord)
            throws CorruptDataException {
        if (file.length < FILE_HEADER_BYTES) {
            throw new CorruptDataException(name + ": incomplete file header");
        }
        ByteBuffer header = ByteBuffer.wrap(file);
        long magic = header.getLong();
        int version = header.getInt();
        long storedFirstRecord = header.getLong();
        int checksum = Crc32c.of(file, 0, FILE_HEADER_BYTES - CHECKSUM_BYTES);
        if (header.getInt() != checksum || magic != MAGIC || storedFirstRecord != firstRecord) {
            throw new CorruptDataException(name + ": corrupt file header");
        }
        if (version != VERSION) {
            throw new CorruptDataException(
                    name + ": file version " + version + " is not supported");
        }
    }

    /** Encodes records with consecutive numbers. */
    static ByteBuffer records(List<NewRecord> records, long firstNumber) {
        int size = records.stream().mapToInt(LogFileFormat::size).sum();
        ByteBuffer bytes = ByteBuffer.allocate(size);
        long number = firstNumber;
        for (NewRecord record : records) {
            int start = bytes.position();
            int contentLength = Long.BYTES + record.body().length;
            bytes.putInt(contentLength).putLong(number++);
            bytes.putInt(Crc32c.of(bytes.array(), start, CHECKED_HEADER_BYTES));
            int checksumPosition = bytes.position();
            bytes.putInt(0).putLong(record.retentionKey()).put(record.body());
            int contentChecksum =
                    Crc32c.of(bytes.array(), start + RECORD_HEADER_BYTES, contentLength);
            bytes.putInt(checksumPosition, contentChecksum);
        }
        return bytes.flip();
    }

    private static int size(NewRecord record) {
        return RECORD_HEADER_BYTES + Long.BYTES + record.body().length;
    }

    static int size(StoredRecord record) {
        return RECORD_HEADER_BYTES + Long.BYTES + record.body().length;
    }

    /** Reads the record of that number at a position; empty if no intact one is there. */
    static Optional<StoredRecord> readRecord(byte[] file, int position, long expectedNumber) {
        if (!isRecordHeader(file, position)) {
            return Optional.empty();
        }
        ByteBuffer header = ByteBuffer.wrap(file, position, RECORD_HEADER_BYTES);
        int length = header.getInt();
        long number = header.getLong();
        header.getInt();
        int checksum = header.getInt();
        int content = position + RECORD_HEADER_BYTES;
        boolean isIntact =
                number == expectedNumber
                        && content + (long) length <= file.length
                        && checksum == Crc32c.of(file, content, length);
        if (!isIntact) {
            return Optional.empty();
        }
        long retentionKey = ByteBuffer.wrap(file, content, Long.BYTES).getLong();
        byte[] body = Arrays.copyOfRange(file, content + Long.BYTES, content + length);
        return Optional.of(new StoredRecord(retentionKey, body));
    }

    /** Whether there is an intact record header at a position. */
    private static boolean isRecordHeader(byte[] file, int position) {
        if (file.length - position < RECORD_HEADER_BYTES) {
            return false;
        }
        ByteBuffer header = ByteBuffer.wrap(file, position, RECORD_HEADER_BYTES);
        int length = header.getInt();
        header.getLong();
        return length >= Long.BYTES
                && length <= RecordLog.MAX_BODY_BYTES + Long.BYTES
                && header.getInt() == Crc32c.of(file, position, CHECKED_HEADER_BYTES);
    }

    /** Whether the header of a record with a higher number follows anywhere after a position. */
    static boolean hasLaterRecord(byte[] file, int position, long number) {
        for (int from = position + 1; from + RECORD_HEADER_BYTES <= file.length; from++) {
            // The number is checked too, as the body of a record may contain the bytes of another
            // record.
            if (isRecordHeader(file, from)
                    && ByteBuffer.wrap(file, from + Integer.BYTES, Long.BYTES).getLong() > number) {
                return true;
            }
        }
        return false;
    }

    /** Whether a record begins at a position but extends beyond the end of the file. */
    static boolean isCutOffRecord(byte[] file, int position) {
        if (file.length - position < RECORD_HEADER_BYTES) {
            return true;
        }
        int length = ByteBuffer.wrap(file, position, RECORD_HEADER_BYTES).getInt();
        return isRecordHeader(file, position)
                && position + (long) RECORD_HEADER_BYTES + length > file.length;
    }
}
