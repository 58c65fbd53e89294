package embershift.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeSet;

/**
 * An append-only log of records, split into files of limited size; the oldest files are deleted
 * once their records are no longer needed. Used by one thread at a time; calls may block on disk
 * I/O. {@link LogFileFormat} describes the layout of the files.
 */
public final class RecordLog implements Closeable {

    /**
     * A record to append.
     *
     * @param retentionKey determines when its file may be deleted; see {@link #discardBelow}
     * @param body at most {@link #MAX_BODY_BYTES} bytes
     */
    public record NewRecord(long retentionKey, byte[] body) {}

    /** A record that was read from disk. */
    public record StoredRecord(long retentionKey, byte[] body) {}

    /**
     * The result of {@link #open}.
     *
     * @param truncatedBytes bytes at the end that are discarded before the next write; unless
     *     {@code isUntrusted}, they were never reported as durable
     * @param isUntrusted whether the discarded bytes may have been durable and corrupted later
     */
    public record Recovery(List<StoredRecord> records, long truncatedBytes, boolean isUntrusted) {}

    /** The maximum size of a record body, in bytes; a longer one is never valid. */
    public static final int MAX_BODY_BYTES = 64 << 20;

    static final NumberedFileName FILE_NAMES = new NumberedFileName("log-");

    private final Disk disk;
    private final long maxFileBytes;
    private final NavigableMap<Long, Long> maxKeyByFirstRecord;

    /** The file that records are appended to; null until the next write opens it. */
    private Disk.AppendFile file;

    /** The length of the last file up to the end of its last complete record. */
    private long completeLength;

    private long nextNumber;

    /** Whether an incomplete record may follow the last complete one. */
    private boolean hasTornEnd;

    private Recovery recovery;

    private RecordLog(Disk disk, long maxFileBytes, LogRecovery recovered) {
        this.disk = disk;
        this.maxFileBytes = maxFileBytes;
        maxKeyByFirstRecord = recovered.maxKeyByFirstRecord();
        completeLength = recovered.intactLength();
        nextNumber = recovered.nextNumber();
        hasTornEnd = recovered.hasTornEnd();
        recovery = recovered.result();
    }

    /**
     * Opens a log and reads all records.
     *
     * @param maxFileBytes size at which a new file is started
     * @throws CorruptDataException if anything but the end of the log is corrupt
     */
    public static RecordLog open(Disk disk, long maxFileBytes) throws IOException {
        return new RecordLog(disk, maxFileBytes, LogRecovery.run(disk));
    }

    /** Returns the result of {@link #open}; only once, to release its memory. */
    public Recovery takeRecovery() {
        Recovery result = recovery;
        recovery = null;
        return result;
    }

    /**
     * Whether the next record starts a new file. If so, the caller may first append the records
     * that must survive the deletion of all earlier files.
     */
    public boolean startsNewFile() {
        return maxKeyByFirstRecord.isEmpty() || completeLength >= maxFileBytes;
    }

    /**
     * Appends records. They are durable once {@link #force} returns.
     *
     * @throws OutOfSpaceException if the disk is full: none of the records is in the log, and the
     *     call may be retried
     */
    public void append(List<NewRecord> records) throws IOException {
        discardTornEnd();
        if (startsNewFile()) {
            beginFile();
        } else if (file == null) {
            file = disk.openForAppend(lastFileName());
        }
        ByteBuffer bytes = LogFileFormat.records(records, nextNumber);
        int length = bytes.remaining();
        hasTornEnd = true;
        file.write(bytes);
        hasTornEnd = false;
        completeLength += length;
        nextNumber += records.size();
        long lastFile = maxKeyByFirstRecord.lastKey();
        records.forEach(
                each -> maxKeyByFirstRecord.merge(lastFile, each.retentionKey(), Math::max));
    }

    private String lastFileName() {
        return FILE_NAMES.of(maxKeyByFirstRecord.lastKey());
    }

    private void beginFile() throws IOException {
        closeFile();
        String name = FILE_NAMES.of(nextNumber);
        Disk.AppendFile newFile = disk.openForAppend(name);
        try {
            newFile.write(LogFileFormat.fileHeader(nextNumber));
        } catch (IOException e) {
            newFile.close();
            disk.delete(Set.of(name));
            throw e;
        }
        file = newFile;
        completeLength = LogFileFormat.FILE_HEADER_BYTES;
        maxKeyByFirstRecord.put(nextNumber, Long.MIN_VALUE);
    }

    /** Removes the remains of a failed write, before anything is appended after them. */
    private void discardTornEnd() throws IOException {
        if (hasTornEnd) {
            closeFile();
            disk.truncate(lastFileName(), completeLength);
            hasTornEnd = false;
        }
    }

    /**
     * Returns once all records are durable.
     *
     * @throws IOException if it is unknown what is durable: the process must not continue
     */
    public void force() throws IOException {
        if (file != null) {
            file.force();
        }
    }

    /**
     * Deletes the oldest files as long as all their records' retention keys are below {@code key}.
     */
    public void discardBelow(long key) throws IOException {
        Set<String> obsolete = new TreeSet<>();
        while (maxKeyByFirstRecord.size() > 1
                && maxKeyByFirstRecord.firstEntry().getValue() < key) {
            obsolete.add(FILE_NAMES.of(maxKeyByFirstRecord.pollFirstEntry().getKey()));
        }
        // In order, oldest first: a process killed in between must leave no gap.
        for (String name : obsolete) {
            disk.delete(Set.of(name));
        }
    }

    /** Returns the number of log files. */
    public int fileCount() {
        return maxKeyByFirstRecord.size();
    }

    private void closeFile() throws IOException {
        if (file != null) {
            // A later file must not become durable before the earlier ones.
            file.force();
            file.close();
            file = null;
        }
    }

    @Override
    public void close() throws IOException {
        if (file != null) {
            file.close();
            file = null;
        }
    }
}
