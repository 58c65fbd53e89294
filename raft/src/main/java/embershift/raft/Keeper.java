package embershift.raft;

import embershift.storage.Damaged;
import embershift.storage.Disk;
import embershift.storage.RecordLog;
import embershift.storage.Sealed;
import embershift.storage.Snapshots;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * What a member persists, on a disk: votes and entries in a log, snapshots beside it. One thread;
 * may wait.
 */
public final class Keeper {

    private static final byte VOTE = 1;
    private static final byte ENTRY = 2;
    private static final byte RESET = 3;

    /** One order of {@link Outside#persist}. */
    public record Order(
            long number, Vote vote, Snapshot snapshot, boolean alone, List<Entry> entries) {}

    /** A file that is there while this member may have lost what it once promised. */
    private static final String DOUBT = "doubt";

    private final Disk disk;
    private final RecordLog log;
    private final Snapshots snapshots;
    private Vote vote = new Vote(0, null);
    private long snapshotIndex;
    private Restored restored;
    private long cut;

    /** What the log says is not to be gone by, and the log does not say so yet. */
    private boolean resetOwed;

    private Keeper(Disk disk, RecordLog log, Snapshots snapshots) {
        this.disk = disk;
        this.log = log;
        this.snapshots = snapshots;
    }

    /**
     * Reads what is there. {@code fileBytes}: size of a file of the log.
     *
     * @throws Damaged where that can't be what was written
     */
    public static Keeper open(Disk disk, long fileBytes) throws IOException {
        Keeper keeper = new Keeper(disk, RecordLog.open(disk, fileBytes), new Snapshots(disk));
        keeper.recover();
        return keeper;
    }

    private void recover() throws IOException {
        try {
            byte[] whole = snapshots.latest();
            Snapshot snapshot = whole == null ? null : Codec.snapshot(whole);
            snapshotIndex = snapshot == null ? 0 : snapshot.index();
            RecordLog.Found found = log.found();
            cut = found.cut();
            List<Entry> entries = new ArrayList<>();
            for (RecordLog.Kept kept : found.records()) {
                byte[] content = new byte[kept.body().length - 1];
                ByteBuffer.wrap(kept.body(), 1, content.length).get(content);
                switch (kept.body()[0]) {
                    case VOTE -> vote = Codec.vote(content);
                    case RESET -> entries.clear();
                    case ENTRY -> {
                        Entry entry = Codec.entry(content);
                        put(entries, entry);
                    }
                    default ->
                            throw new Damaged("a record of kind " + kept.body()[0] + " in the log");
                }
            }
            int before = entries.size();
            entries = behind(snapshot, entries);
            resetOwed = entries.size() < before;
            boolean doubt = disk.names().contains(DOUBT);
            if (found.doubtful() && !doubt) {
                // Before the log is cut: after that nothing else tells.
                Sealed.write(disk, DOUBT, new byte[0]);
                doubt = true;
            }
            restored = new Restored(vote, snapshot, entries, doubt);
        } catch (Codec.Unreadable e) {
            throw new Damaged(
                    "what is on disk is of another program or version: " + e.getMessage());
        }
    }

    /** An entry takes the place of the one at its index, and of all behind that. */
    private static void put(List<Entry> entries, Entry entry) throws Damaged {
        if (!entries.isEmpty()) {
            long first = entries.get(0).index();
            if (entry.index() < first) {
                entries.clear();
            } else if (entry.index() > first + entries.size()) {
                throw new Damaged(
                        "entry "
                                + entry.index()
                                + " in the log follows entry "
                                + (first + entries.size() - 1));
            } else {
                entries.subList((int) (entry.index() - first), entries.size()).clear();
            }
        }
        entries.add(entry);
    }

    private static List<Entry> behind(Snapshot snapshot, List<Entry> entries) throws Damaged {
        long base = snapshot == null ? 0 : snapshot.index();
        if (entries.isEmpty()) {
            return entries;
        }
        long first = entries.get(0).index();
        if (first > base + 1) {
            throw new Damaged(
                    "the log begins at entry "
                            + first
                            + ", and there is no snapshot of those before it");
        }
        if (base == 0 || first == base + 1) {
            return entries;
        }
        int at = (int) (base - first);
        if (at >= entries.size() || entries.get(at).term() != snapshot.term()) {
            // Killed between a snapshot that takes the whole log's place and the word that it does.
            return List.of();
        }
        return entries;
    }

    /** What was found, given once. */
    public Restored restored() {
        Restored once = restored;
        restored = null;
        return once;
    }

    /** Bytes that were cut off at the end of the log as it was opened. */
    public long cut() {
        return cut;
    }

    /**
     * Carries the orders out; all of it is on disk when this returns.
     *
     * @throws embershift.storage.NoRoom where some or none of it is, and the same orders may be
     *     given again
     */
    public void keep(List<Order> orders) throws IOException {
        List<RecordLog.Fresh> records = new ArrayList<>();
        long dropTo = 0;
        if (resetOwed) {
            records.add(record(snapshotIndex, RESET, new byte[0]));
        }
        for (Order order : orders) {
            if (order.vote != null) {
                vote = order.vote;
                records.add(record(0, VOTE, Codec.bytes(vote)));
            }
            if (order.snapshot != null) {
                if (order.snapshot.index() > snapshotIndex) {
                    // What the log says before it must be there first, what it says after it only
                    // once the snapshot is.
                    flush(records);
                    snapshots.write(order.snapshot.index(), Codec.bytes(order.snapshot));
                    snapshotIndex = order.snapshot.index();
                    dropTo = snapshotIndex;
                }
                if (order.alone) {
                    // Also where the snapshot was written by an earlier try, which found no room
                    // for this.
                    records.add(record(order.snapshot.index(), RESET, new byte[0]));
                }
            }
            for (Entry entry : order.entries) {
                records.add(record(entry.index(), ENTRY, Codec.bytes(entry)));
            }
        }
        flush(records);
        log.force();
        resetOwed = false;
        if (dropTo > 0) {
            log.dropBelow(dropTo);
        }
    }

    private void flush(List<RecordLog.Fresh> records) throws IOException {
        if (!records.isEmpty()) {
            if (log.beginsFile()) {
                // The files before this one may go, and the vote must stay.
                records.add(0, record(0, VOTE, Codec.bytes(vote)));
            }
            log.append(records);
            records.clear();
        }
    }

    private static RecordLog.Fresh record(long mark, byte kind, byte[] content) {
        return new RecordLog.Fresh(
                mark, ByteBuffer.allocate(1 + content.length).put(kind).put(content).array());
    }

    /** What was in doubt is made good, by the orders carried out until now. */
    public void sure() throws IOException {
        disk.delete(Set.of(DOUBT));
    }

    /** Files of the log. */
    public int files() {
        return log.files();
    }
}
