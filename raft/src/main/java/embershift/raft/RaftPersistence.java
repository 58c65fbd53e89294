package embershift.raft;

import embershift.storage.ChecksummedFile;
import embershift.storage.CorruptDataException;
import embershift.storage.Disk;
import embershift.storage.RecordLog;
import embershift.storage.SnapshotStore;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Stores a member's state on disk: hard state and entries in a {@link RecordLog}, the latest
 * snapshot in a separate file. Used by one thread at a time; calls may block on disk I/O.
 */
public final class RaftPersistence {

    /** Record kinds, stored in the first byte of a log record. */
    private static final byte HARD_STATE = 1;

    private static final byte ENTRY = 2;

    /** Invalidates all earlier entries: a snapshot has replaced them. */
    private static final byte LOG_RESET = 3;

    /** Name of a file that exists while the member is untrusted; see {@link RecoveredState}. */
    private static final String UNTRUSTED_MARKER = "doubt";

    private final Disk disk;
    private final RecordLog log;
    private final SnapshotStore snapshots;
    private HardState hardState = HardState.INITIAL;
    private long snapshotIndex;
    private RecoveredState recovered;
    private long truncatedBytes;

    /** Whether the log lacks a {@link #LOG_RESET} for entries that the snapshot has replaced. */
    private boolean isLogResetPending;

    private RaftPersistence(Disk disk, RecordLog log, SnapshotStore snapshots) {
        this.disk = disk;
        this.log = log;
        this.snapshots = snapshots;
    }

    /**
     * Opens a member's directory and reads all of it.
     *
     * @param maxLogFileBytes size at which a new log file is started
     * @throws CorruptDataException if the stored data is corrupt or inconsistent
     */
    public static RaftPersistence open(Disk disk, long maxLogFileBytes) throws IOException {
        RaftPersistence persistence =
                new RaftPersistence(
                        disk, RecordLog.open(disk, maxLogFileBytes), new SnapshotStore(disk));
        try {
            persistence.recover();
        } catch (MalformedBytesException e) {
            throw new CorruptDataException(
                    "stored data has an unknown format or version: " + e.getMessage());
        }
        return persistence;
    }

    private void recover() throws IOException {
        Optional<Snapshot> snapshot = snapshots.latest().map(RaftCodec::decodeSnapshot);
        snapshotIndex = snapshot.map(Snapshot::index).orElse(0L);
        RecordLog.Recovery recovery = log.takeRecovery();
        truncatedBytes = recovery.truncatedBytes();
        List<LogEntry> entries = new ArrayList<>();
        for (RecordLog.StoredRecord record : recovery.records()) {
            replay(record, entries);
        }
        List<LogEntry> valid = entriesThatFollow(snapshot, entries);
        isLogResetPending = valid.size() < entries.size();
        recovered = new RecoveredState(hardState, snapshot, valid, markUntrusted(recovery));
    }

    private void replay(RecordLog.StoredRecord record, List<LogEntry> entries)
            throws CorruptDataException {
        ByteBuffer body = ByteBuffer.wrap(record.body());
        byte kind = body.get();
        byte[] content = new byte[body.remaining()];
        body.get(content);
        switch (kind) {
            case HARD_STATE -> hardState = RaftCodec.decodeHardState(content);
            case LOG_RESET -> entries.clear();
            case ENTRY -> replace(entries, RaftCodec.decodeEntry(content));
            default ->
                    throw new CorruptDataException("unknown record kind " + kind + " in the log");
        }
    }

    /** Adds an entry; it replaces the one at its index and all later ones. */
    private static void replace(List<LogEntry> entries, LogEntry entry)
            throws CorruptDataException {
        if (!entries.isEmpty()) {
            long first = entries.get(0).index();
            long next = first + entries.size();
            if (entry.index() > next) {
                throw new CorruptDataException(
                        "log has a gap: entry " + entry.index() + " follows entry " + (next - 1));
            }
            int from = (int) Math.max(0, entry.index() - first);
            entries.subList(from, entries.size()).clear();
        }
        entries.add(entry);
    }

    private static List<LogEntry> entriesThatFollow(
            Optional<Snapshot> snapshot, List<LogEntry> entries) throws CorruptDataException {
        long snapshotIndex = snapshot.map(Snapshot::index).orElse(0L);
        if (entries.isEmpty()) {
            return entries;
        }
        long first = entries.get(0).index();
        if (first > snapshotIndex + 1) {
            throw new CorruptDataException(
                    "the log begins at entry "
                            + first
                            + ", but no snapshot covers the entries before it");
        }
        if (snapshot.isEmpty() || first == snapshotIndex + 1) {
            return entries;
        }
        int offset = (int) (snapshotIndex - first);
        if (offset >= entries.size() || entries.get(offset).term() != snapshot.get().term()) {
            // The process was killed after writing a snapshot that replaces the log, but before
            // the log reset.
            return List.of();
        }
        return entries;
    }

    /** Returns whether the member is untrusted; if so, that is recorded on disk. */
    private boolean markUntrusted(RecordLog.Recovery recovery) throws IOException {
        boolean isMarked = disk.fileNames().contains(UNTRUSTED_MARKER);
        if (recovery.isUntrusted() && !isMarked) {
            // Written before the log is truncated: afterwards nothing else shows that data was
            // lost.
            ChecksummedFile.write(disk, UNTRUSTED_MARKER, new byte[0]);
            return true;
        }
        return isMarked;
    }

    /** Returns the state read by {@link #open}; only once, to release its memory. */
    public RecoveredState takeRecovered() {
        RecoveredState result = recovered;
        recovered = null;
        return result;
    }

    /** Returns how many bytes were discarded at the end of the log when it was opened. */
    public long truncatedBytes() {
        return truncatedBytes;
    }

    /**
     * Executes requests in order; everything is durable when this returns.
     *
     * @throws embershift.storage.OutOfSpaceException if the disk is full: some or none of the data
     *     is durable, and the same requests may be retried
     */
    public void write(List<WriteRequest> requests) throws IOException {
        List<RecordLog.NewRecord> records = new ArrayList<>();
        long discardBelow = 0;
        if (isLogResetPending) {
            records.add(record(snapshotIndex, LOG_RESET, new byte[0]));
        }
        for (WriteRequest request : requests) {
            if (request.hardState().isPresent()) {
                hardState = request.hardState().get();
                records.add(record(0, HARD_STATE, RaftCodec.encode(hardState)));
            }
            if (request.snapshot().isPresent()) {
                discardBelow = Math.max(discardBelow, writeSnapshot(request, records));
            }
            for (LogEntry entry : request.entries()) {
                records.add(record(entry.index(), ENTRY, RaftCodec.encode(entry)));
            }
        }
        append(records);
        log.force();
        isLogResetPending = false;
        if (discardBelow > 0) {
            log.discardBelow(discardBelow);
        }
    }

    /** Returns the index below which the log is no longer needed, or 0. */
    private long writeSnapshot(WriteRequest request, List<RecordLog.NewRecord> records)
            throws IOException {
        Snapshot snapshot = request.snapshot().orElseThrow();
        boolean isNewer = snapshot.index() > snapshotIndex;
        if (isNewer) {
            // Earlier records must be in the log before the snapshot is written, later ones only
            // after it.
            append(records);
            snapshots.write(snapshot.index(), RaftCodec.encode(snapshot));
            snapshotIndex = snapshot.index();
        }
        if (request.replacesLog()) {
            // Also needed if an earlier attempt wrote the snapshot and then found the disk full.
            records.add(record(snapshot.index(), LOG_RESET, new byte[0]));
        }
        return isNewer ? snapshotIndex : 0;
    }

    private void append(List<RecordLog.NewRecord> records) throws IOException {
        if (!records.isEmpty()) {
            if (log.startsNewFile()) {
                // Earlier files may be deleted, but the hard state must be kept.
                records.add(0, record(0, HARD_STATE, RaftCodec.encode(hardState)));
            }
            log.append(records);
            records.clear();
        }
    }

    private static RecordLog.NewRecord record(long retentionKey, byte kind, byte[] content) {
        return new RecordLog.NewRecord(
                retentionKey,
                ByteBuffer.allocate(1 + content.length).put(kind).put(content).array());
    }

    /** Removes the untrusted marker: the requests written so far restore all that may be lost. */
    public void markTrusted() throws IOException {
        disk.delete(Set.of(UNTRUSTED_MARKER));
    }

    /** Returns the number of log files. */
    public int logFileCount() {
        return log.fileCount();
    }
}
