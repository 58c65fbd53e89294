package embershift.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.zip.CRC32C;

/**
 * A log of records that only grows at its end, in files of a bounded size, and loses its oldest
 * files once they are not needed. One thread at a time; all calls may wait for the disk.
 *
 * <p>File: a header of magic, version, the number of its first record and a checksum; then records.
 * Record: length and number, a CRC32C of both, a CRC32C of the body, the body. So a record that a
 * killed process wrote in part, whose beginning is right and whose end is missing, is told from one
 * that was changed on disk.
 */
public final class RecordLog implements Closeable {

    /** A record as it is found again; {@code mark} is what its writer gave with it. */
    public record Kept(long mark, byte[] body) {}

    /**
     * What was found. {@code cut}: bytes at the end that are cut off before the next write, which
     * no writer was ever told to be on disk, or 0. {@code doubtful}: the cut ones may have been on
     * disk, and were changed since.
     */
    public record Found(List<Kept> records, long cut, boolean doubtful) {}

    static final int HEADER = 24;
    static final int RECORD = 20;
    private static final long MAGIC = 0x454d424c4f470001L;
    private static final int VERSION = 1;
    private static final String NAME = "log-";
    private static final String FORM = NAME + "%016d";

    /** Bytes of one record's body at the most: what is longer was never written. */
    public static final int LONGEST = 64 << 20;

    private final Disk disk;
    private final long fileBytes;

    /** The greatest mark of each file's records, by the number of its first. */
    private final TreeMap<Long, Long> files = new TreeMap<>();

    private Disk.Appending file;
    private long good;

    /** The next record's number. */
    private long next = 1;

    private boolean torn;
    private Found found;

    private RecordLog(Disk disk, long fileBytes) {
        this.disk = disk;
        this.fileBytes = fileBytes;
    }

    /**
     * Reads all that is there. {@code fileBytes}: size from which a new file is begun.
     *
     * @throws Damaged where anything but the end of it was changed
     */
    public static RecordLog open(Disk disk, long fileBytes) throws IOException {
        RecordLog log = new RecordLog(disk, fileBytes);
        log.recover();
        return log;
    }

    /** What {@code open} found; given once, so that it need not stay in memory. */
    public Found found() {
        Found once = found;
        found = null;
        return once;
    }

    private static String name(long first) {
        return String.format(FORM, first);
    }

    private void recover() throws IOException {
        List<Kept> records = new ArrayList<>();
        long cut = 0;
        boolean doubtful = false;
        TreeSet<String> names = new TreeSet<>();
        for (String name : disk.names()) {
            if (name.matches(NAME + "\\d{16}")) {
                names.add(name);
            }
        }
        for (String name : names) {
            boolean last = name.equals(names.last());
            byte[] content = disk.read(name);
            long first = Long.parseLong(name.substring(NAME.length()));
            if (last && content.length < HEADER) {
                // Killed as it began this file: nothing was in it yet.
                cut += content.length;
                disk.delete(Set.of(name));
                break;
            }
            checkHeader(name, content, first);
            if (!files.isEmpty() && first != next) {
                throw new Damaged(
                        name
                                + ": begins at record "
                                + first
                                + ", but the files before it end at "
                                + (next - 1));
            }
            next = first;
            files.put(first, Long.MIN_VALUE);
            int at = HEADER;
            while (at < content.length) {
                Kept kept = record(content, at);
                if (kept == null) {
                    if (!last || anyAfter(content, at)) {
                        throw new Damaged(
                                name + ": record " + next + " at byte " + at + " was changed");
                    }
                    cut += content.length - at;
                    doubtful = !isBeginning(content, at);
                    // Cut before the next write: whoever opens this may first want to note that it
                    // was in doubt.
                    torn = true;
                    break;
                }
                records.add(kept);
                files.merge(first, kept.mark, Math::max);
                next++;
                at += RECORD + Long.BYTES + kept.body.length;
            }
            good = at;
        }
        found = new Found(records, cut, doubtful);
    }

    private static void checkHeader(String name, byte[] content, long first) throws Damaged {
        if (content.length < HEADER) {
            throw new Damaged(name + ": its beginning is missing");
        }
        ByteBuffer header = ByteBuffer.wrap(content);
        long magic = header.getLong();
        int version = header.getInt();
        long told = header.getLong();
        if (header.getInt() != checksum(content, 0, HEADER - Integer.BYTES)
                || magic != MAGIC
                || told != first) {
            throw new Damaged(name + ": its beginning was changed");
        }
        if (version != VERSION) {
            throw new Damaged(name + ": of version " + version + ", which this program can't read");
        }
    }

    private static int checksum(byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }

    /** The record at this place, or null where there is none whole. */
    private Kept record(byte[] content, int at) {
        if (!headStands(content, at)) {
            return null;
        }
        ByteBuffer head = ByteBuffer.wrap(content, at, RECORD);
        int length = head.getInt();
        long number = head.getLong();
        head.getInt();
        int sum = head.getInt();
        int from = at + RECORD;
        if (number != next
                || from + (long) length > content.length
                || sum != checksum(content, from, length)) {
            return null;
        }
        return new Kept(
                ByteBuffer.wrap(content, from, Long.BYTES).getLong(),
                Arrays.copyOfRange(content, from + Long.BYTES, from + length));
    }

    private static boolean headStands(byte[] content, int at) {
        if (content.length - at < RECORD) {
            return false;
        }
        ByteBuffer head = ByteBuffer.wrap(content, at, RECORD);
        int length = head.getInt();
        head.getLong();
        return length >= Long.BYTES
                && length <= LONGEST + Long.BYTES
                && head.getInt() == checksum(content, at, Integer.BYTES + Long.BYTES);
    }

    /**
     * Whether a later record stands after this place: then what is wrong here is no write that was
     * cut short.
     */
    private boolean anyAfter(byte[] content, int at) {
        for (int from = at + 1; from + RECORD <= content.length; from++) {
            // Without its own number a record's bytes may stand in the body of another.
            if (headStands(content, from)
                    && ByteBuffer.wrap(content, from + Integer.BYTES, Long.BYTES).getLong()
                            > next) {
                return true;
            }
        }
        return false;
    }

    /** Whether what is at this place is the beginning of a record that ends after the file does. */
    private boolean isBeginning(byte[] content, int at) {
        if (content.length - at < RECORD) {
            return true;
        }
        return headStands(content, at)
                && at + (long) RECORD + ByteBuffer.wrap(content, at, RECORD).getInt()
                        > content.length;
    }

    /** A record to be written; {@code mark}: see {@code dropBelow}. */
    public record Fresh(long mark, byte[] body) {}

    /**
     * Whether the next record begins a file: then the writer may put first what a reader of that
     * file alone needs.
     */
    public boolean beginsFile() {
        return files.isEmpty() || good >= fileBytes;
    }

    /**
     * Writes records behind all others; they are on disk once {@code force} returns.
     *
     * @throws NoRoom where nothing of it was written, and it may be tried again
     */
    public void append(List<Fresh> records) throws IOException {
        mend();
        if (beginsFile()) {
            begin();
        } else if (file == null) {
            file = disk.append(name(files.lastKey()));
        }
        int bytes =
                records.stream().mapToInt(record -> RECORD + Long.BYTES + record.body.length).sum();
        ByteBuffer all = ByteBuffer.allocate(bytes);
        long number = next;
        long mark = files.lastEntry().getValue();
        for (Fresh record : records) {
            int at = all.position();
            all.putInt(Long.BYTES + record.body.length).putLong(number++);
            all.putInt(checksum(all.array(), at, Integer.BYTES + Long.BYTES)).putInt(0);
            all.putLong(record.mark).put(record.body);
            all.putInt(
                    at + RECORD - Integer.BYTES,
                    checksum(all.array(), at + RECORD, Long.BYTES + record.body.length));
            mark = Math.max(mark, record.mark);
        }
        torn = true;
        file.write(all.flip());
        torn = false;
        good += bytes;
        next = number;
        files.put(files.lastKey(), mark);
    }

    private void begin() throws IOException {
        closeFile();
        ByteBuffer header =
                ByteBuffer.allocate(HEADER).putLong(MAGIC).putInt(VERSION).putLong(next);
        header.putInt(checksum(header.array(), 0, HEADER - Integer.BYTES));
        Disk.Appending fresh = disk.append(name(next));
        try {
            fresh.write(header.flip());
        } catch (IOException e) {
            fresh.close();
            disk.delete(Set.of(name(next)));
            throw e;
        }
        file = fresh;
        good = HEADER;
        files.put(next, Long.MIN_VALUE);
    }

    /**
     * After a write that failed half way, its beginning must go before anything is written behind
     * it.
     */
    private void mend() throws IOException {
        if (torn) {
            closeFile();
            disk.cut(name(files.lastKey()), good);
            torn = false;
        }
    }

    /**
     * Returns once all records are on disk. Where this fails, nobody can tell what is: the process
     * must not go on.
     */
    public void force() throws IOException {
        if (file != null) {
            file.force();
        }
    }

    /** Takes away the oldest files as far as all their records' marks are below this one. */
    public void dropBelow(long mark) throws IOException {
        Set<String> old = new TreeSet<>();
        while (files.size() > 1 && files.firstEntry().getValue() < mark) {
            old.add(name(files.pollFirstEntry().getKey()));
        }
        // From the oldest on: a kill between two must leave no gap.
        for (String name : old) {
            disk.delete(Set.of(name));
        }
    }

    /** Files that lie there. */
    public int files() {
        return files.size();
    }

    private void closeFile() throws IOException {
        if (file != null) {
            // What a later file holds must not be on disk without what comes before it.
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
