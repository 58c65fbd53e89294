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
 * Keeps a member's state on a disk: hard state and entries in a {@link RecordLog}, the latest
 * snapshot beside it. Used by one thread at a time; calls may block for the disk.
 */
public final class RaftPersistence {

    /** Kinds of records in the log, in their first byte. */
    private static final byte HARD_STATE = 1;

    private static final byte ENTRY = 2;

    /** All entries before it are void: a snapshot took their place. */
    private static final byte LOG_RESET = 3;

    /** Name of a file that exists while the member is untrusted: see {@link RecoveredState}. */
    private static final String UNTRUSTED_MARKER = "doubt";

    private final Disk disk;
    private final RecordLog log;
    private final SnapshotStore snapshots;
    private HardState hardState = HardState.INITIAL;
    private long snapshotIndex;
    private RecoveredState recovered;
    private long truncatedBytes;

    /** Whether the log still holds entries that the snapshot has made void, and does not say so. */
    private boolean isLogResetPending;

    private RaftPersistence(Disk disk, RecordLog log, SnapshotStore snapshots) {
        this.disk = disk;
        this.log = log;
        this.snapshots = snapshots;
    }

    /**
     * Opens a member's directory and reads all of it.
     *
     * @param maxLogFileBytes size from which on a new file of the log is begun
     * @throws CorruptDataException if its content can't be what was written
     */
    public static RaftPersistence open(Disk disk, long maxLogFileBytes) throws IOException {
        RaftPersistence persistence =
                new RaftPersistence(
                        disk, RecordLog.open(disk, maxLogFileBytes), new SnapshotStore(disk));
        try {
            persistence.recover();
        } catch (MalformedBytesException e) {
            throw new CorruptDataException(
                    "what is on disk is of another program or version: " + e.getMessage());
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
            default -> throw new CorruptDataException("a record of kind " + kind + " in the log");
        }
    }

    /** An entry takes the place of the one at its index, and of all behind that. */
    private static void replace(List<LogEntry> entries, LogEntry entry)
            throws CorruptDataException {
        if (!entries.isEmpty()) {
            long first = entries.get(0).index();
            long next = first + entries.size();
            if (entry.index() > next) {
                throw new CorruptDataException(
                        "entry " + entry.index() + " in the log follows entry " + (next - 1));
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
                            + ", and there is no snapshot of those before it");
        }
        if (snapshot.isEmpty() || first == snapshotIndex + 1) {
            return entries;
        }
        int offset = (int) (snapshotIndex - first);
        if (offset >= entries.size() || entries.get(offset).term() != snapshot.get().term()) {
            // Killed between the write of a snapshot that replaces the log and the log reset.
            return List.of();
        }
        return entries;
    }

    /** Returns whether the member is untrusted, and has that noted on disk. */
    private boolean markUntrusted(RecordLog.Recovery recovery) throws IOException {
        boolean isMarked = disk.fileNames().contains(UNTRUSTED_MARKER);
        if (recovery.isUntrusted() && !isMarked) {
            // Before the log is truncated: after that nothing else tells.
            ChecksummedFile.write(disk, UNTRUSTED_MARKER, new byte[0]);
            return true;
        }
        return isMarked;
    }

    /** Returns what {@link #open} found; once only, so that it need not stay in memory. */
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
     * Carries out requests in their order; everything is durable when this returns.
     *
     * @throws embershift.storage.OutOfSpaceException if the disk is full: some or none of it is
     *     durable, and the same requests may be given again
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

    /** Returns the index below which the log is not needed any more, or 0. */
    private long writeSnapshot(WriteRequest request, List<RecordLog.NewRecord> records)
            throws IOException {
        Snapshot snapshot = request.snapshot().orElseThrow();
        boolean isNewer = snapshot.index() > snapshotIndex;
        if (isNewer) {
            // What the log says before it must be there first, what it says after it only once the
            // snapshot is.
            append(records);
            snapshots.write(snapshot.index(), RaftCodec.encode(snapshot));
            snapshotIndex = snapshot.index();
        }
        if (request.replacesLog()) {
            // Also if an earlier try wrote the snapshot, and then found the disk full.
            records.add(record(snapshot.index(), LOG_RESET, new byte[0]));
        }
        return isNewer ? snapshotIndex : 0;
    }

    private void append(List<RecordLog.NewRecord> records) throws IOException {
        if (!records.isEmpty()) {
            if (log.startsNewFile()) {
                // The files before this one may be deleted, and the hard state must stay.
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

    /** What the member may have lost is durable again, by the requests written until now. */
    public void markTrusted() throws IOException {
        disk.delete(Set.of(UNTRUSTED_MARKER));
    }

    /** Returns the number of files of the log. */
    public int logFileCount() {
        return log.fileCount();
    }
}
