package embershift.storage;

import embershift.storage.RecordLog.StoredRecord;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Reads the files of a {@link RecordLog} when it is opened. Only the end of the last file may be
 * unreadable; anything else is corruption.
 */
final class LogRecovery {

    private final Disk disk;
    private final List<StoredRecord> records = new ArrayList<>();
    private final NavigableMap<Long, Long> maxKeyByFirstRecord = new TreeMap<>();
    private long nextNumber = 1;
    private long intactLength;
    private long truncatedBytes;
    private boolean isUntrusted;
    private boolean hasTornEnd;

    private LogRecovery(Disk disk) {
        this.disk = disk;
    }

    static LogRecovery run(Disk disk) throws IOException {
        LogRecovery recovery = new LogRecovery(disk);
        NavigableSet<String> names = RecordLog.FILE_NAMES.listFiles(disk);
        for (String name : names) {
            recovery.readFile(name, name.equals(names.last()));
        }
        return recovery;
    }

    private void readFile(String name, boolean isLast) throws IOException {
        byte[] file = disk.read(name);
        if (isLast && file.length < LogFileFormat.FILE_HEADER_BYTES) {
            // The process was killed while it created this file: there was no record in it yet.
            truncatedBytes += file.length;
            disk.delete(Set.of(name));
            return;
        }
        long firstRecord = RecordLog.FILE_NAMES.numberOf(name);
        LogFileFormat.checkFileHeader(name, file, firstRecord);
        if (!maxKeyByFirstRecord.isEmpty() && firstRecord != nextNumber) {
            throw new CorruptDataException(
                    name
                            + ": starts at record "
                            + firstRecord
                            + ", but the previous files end at record "
                            + (nextNumber - 1));
        }
        nextNumber = firstRecord;
        maxKeyByFirstRecord.put(firstRecord, Long.MIN_VALUE);
        intactLength = readRecords(name, file, isLast, firstRecord);
    }

    /** Returns the position after the last intact record. */
    private int readRecords(String name, byte[] file, boolean isLast, long firstRecord)
            throws CorruptDataException {
        int position = LogFileFormat.FILE_HEADER_BYTES;
        while (position < file.length) {
            Optional<StoredRecord> read = LogFileFormat.readRecord(file, position, nextNumber);
            if (read.isEmpty()) {
                acceptTornEnd(name, file, isLast, position);
                break;
            }
            StoredRecord record = read.get();
            records.add(record);
            maxKeyByFirstRecord.merge(firstRecord, record.retentionKey(), Math::max);
            nextNumber++;
            position += LogFileFormat.size(record);
        }
        return position;
    }

    private void acceptTornEnd(String name, byte[] file, boolean isLast, int position)
            throws CorruptDataException {
        if (!isLast || LogFileFormat.hasLaterRecord(file, position, nextNumber)) {
            throw new CorruptDataException(
                    name + ": record " + nextNumber + " at byte " + position + " is corrupt");
        }
        truncatedBytes += file.length - position;
        isUntrusted = !LogFileFormat.isCutOffRecord(file, position);
        // Truncated only before the next write: the caller may first have to record that it is
        // untrusted.
        hasTornEnd = true;
    }

    RecordLog.Recovery result() {
        return new RecordLog.Recovery(records, truncatedBytes, isUntrusted);
    }

    /** The maximum retention key of each file, by the number of the file's first record. */
    NavigableMap<Long, Long> maxKeyByFirstRecord() {
        return maxKeyByFirstRecord;
    }

    long nextNumber() {
        return nextNumber;
    }

    /** The length of the last file up to the end of its last intact record. */
    long intactLength() {
        return intactLength;
    }

    boolean hasTornEnd() {
        return hasTornEnd;
    }
}
