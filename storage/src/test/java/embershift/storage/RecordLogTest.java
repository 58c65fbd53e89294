package embershift.storage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/** Recovery of the log after incomplete writes and after corruption of stored data. */
public class RecordLogTest {

    private static final long FILE_BYTES = 200;

    private static List<RecordLog.NewRecord> records(int from, int to) {
        List<RecordLog.NewRecord> records = new ArrayList<>();
        for (int i = from; i < to; i++) {
            records.add(
                    new RecordLog.NewRecord(
                            i,
                            ("record " + i + "x".repeat(i % 7)).getBytes(StandardCharsets.UTF_8)));
        }
        return records;
    }

    private static MemoryDisk writeSampleLog(int count) throws IOException {
        MemoryDisk disk = new MemoryDisk();
        RecordLog log = RecordLog.open(disk, FILE_BYTES);
        for (int i = 0; i < count; i++) {
            log.append(records(i, i + 1));
            log.force();
        }
        return disk;
    }

    private static int verifyRecords(Disk disk) throws IOException {
        RecordLog.Recovery recovery = RecordLog.open(disk, FILE_BYTES).takeRecovery();
        for (int i = 0; i < recovery.records().size(); i++) {
            assertEquals(recovery.records().get(i).retentionKey(), i);
            assertEquals(recovery.records().get(i).body(), records(i, i + 1).get(0).body());
        }
        return recovery.records().size();
    }

    /** Copies the files of a disk, with the content of one of them replaced. */
    private static MemoryDisk copyWithFile(Disk disk, String name, byte[] content)
            throws IOException {
        MemoryDisk copy = new MemoryDisk();
        for (String each : disk.fileNames()) {
            copy.put(each, each.equals(name) ? content : disk.read(each));
        }
        return copy;
    }

    private static String lastFileName(Disk disk) throws IOException {
        return disk.fileNames().stream().reduce((one, other) -> other).orElseThrow();
    }

    @Test
    public void truncationOfLastFileLosesOnlyIncompleteRecords() throws Exception {
        MemoryDisk disk = writeSampleLog(20);
        assertTrue(disk.fileNames().size() > 3);
        String name = lastFileName(disk);
        byte[] original = disk.read(name);
        int previousCount = 20;
        for (int length = original.length; length >= 0; length--) {
            MemoryDisk truncated = copyWithFile(disk, name, Arrays.copyOf(original, length));
            RecordLog log = RecordLog.open(truncated, FILE_BYTES);
            RecordLog.Recovery recovery = log.takeRecovery();
            int count = recovery.records().size();
            assertTrue(count == previousCount || count == previousCount - 1, length + ": " + count);
            assertFalse(recovery.isUntrusted());
            previousCount = count;
            log.append(records(count, count + 2));
            log.force();
            assertEquals(verifyRecords(truncated), count + 2);
        }
        assertTrue(previousCount < 20);
    }

    @Test
    public void flippedBitIsDetectedAndDiscardsAtMostLastRecord() throws Exception {
        MemoryDisk disk = writeSampleLog(20);
        int discarded = 0;
        int rejected = 0;
        for (String name : disk.fileNames()) {
            byte[] content = disk.read(name);
            for (int offset = 0; offset < content.length; offset++) {
                byte[] changed = content.clone();
                changed[offset] ^= (byte) (1 << (offset % 8));
                MemoryDisk corrupted = copyWithFile(disk, name, changed);
                try {
                    RecordLog.Recovery recovery =
                            RecordLog.open(corrupted, FILE_BYTES).takeRecovery();
                    assertEquals(recovery.records().size(), 19, name + " at " + offset);
                    assertTrue(recovery.isUntrusted());
                    discarded++;
                } catch (CorruptDataException e) {
                    assertFalse(e.getMessage().contains("\n"));
                    rejected++;
                }
            }
        }
        assertTrue(discarded > 20 && rejected > 400, discarded + " " + rejected);
    }

    @Test
    public void missingMiddleFileIsRejected() throws Exception {
        MemoryDisk disk = writeSampleLog(20);
        disk.delete(Set.of(disk.fileNames().stream().skip(1).findFirst().orElseThrow()));
        assertThrows(CorruptDataException.class, () -> RecordLog.open(disk, FILE_BYTES));
    }

    @Test
    public void fullDiskLosesNoRecordsAndWritesResumeOnceThereIsSpace() throws Exception {
        MemoryDisk disk = new MemoryDisk();
        RecordLog log = RecordLog.open(disk, FILE_BYTES);
        int count = 0;
        for (int i = 0; i < 40; i++) {
            int next = count;
            disk.setFull(i % 3 != 0);
            if (i % 3 == 0) {
                log.append(records(next, next + 1));
                log.force();
                count++;
            } else {
                assertThrows(OutOfSpaceException.class, () -> log.append(records(next, next + 1)));
            }
            disk.setFull(false);
            MemoryDisk copy = copyWithFile(disk, null, null);
            assertEquals(verifyRecords(copy), count);
        }
        assertEquals(verifyRecords(disk), count);
    }

    @Test
    public void oldestFilesBelowRetentionKeyAreDeletedAndTheRestIsReadable() throws Exception {
        MemoryDisk disk = writeSampleLog(20);
        RecordLog log = RecordLog.open(disk, FILE_BYTES);
        int initialFileCount = log.fileCount();
        log.discardBelow(10);
        assertTrue(log.fileCount() < initialFileCount);
        List<RecordLog.StoredRecord> remaining =
                RecordLog.open(disk, FILE_BYTES).takeRecovery().records();
        assertTrue(remaining.get(0).retentionKey() <= 10 && remaining.get(0).retentionKey() > 0);
        assertEquals(remaining.get(remaining.size() - 1).retentionKey(), 19);
    }

    @Test
    public void fileSystemDirectoryIsPersistentAndLocked() throws Exception {
        Path path = Files.createTempDirectory("embershift");
        try (FileSystemDisk directory = FileSystemDisk.open(path)) {
            RecordLog log = RecordLog.open(directory, FILE_BYTES);
            log.append(records(0, 20));
            log.force();
            log.close();
            assertEquals(verifyRecords(directory), 20);
            new SnapshotStore(directory).write(3, new byte[] {1});
            new SnapshotStore(directory).write(4, new byte[] {2});
            assertEquals(new SnapshotStore(directory).latest().orElseThrow(), new byte[] {2});
            assertThrows(IOException.class, () -> FileSystemDisk.open(path));
            for (String name : directory.fileNames()) {
                directory.delete(Set.of(name));
            }
        }
        Files.delete(path.resolve("lock"));
        Files.delete(path);
    }

    @Test
    public void corruptOrTruncatedSnapshotIsRejected() throws Exception {
        MemoryDisk disk = new MemoryDisk();
        new SnapshotStore(disk).write(1, "content".getBytes(StandardCharsets.UTF_8));
        byte[] original = disk.read(lastFileName(disk));
        for (int offset = 0; offset < original.length; offset++) {
            byte[] changed = original.clone();
            changed[offset] ^= 4;
            assertThrows(
                    CorruptDataException.class,
                    () ->
                            new SnapshotStore(copyWithFile(disk, lastFileName(disk), changed))
                                    .latest());
            byte[] truncated = Arrays.copyOf(original, offset);
            assertThrows(
                    CorruptDataException.class,
                    () ->
                            new SnapshotStore(copyWithFile(disk, lastFileName(disk), truncated))
                                    .latest());
        }
    }

    @Test
    public void markerFileMakesDiskFullUntilItIsDeleted() throws Exception {
        MemoryDisk delegate = new MemoryDisk();
        FaultInjectingDisk disk = new FaultInjectingDisk(delegate);
        RecordLog log = RecordLog.open(disk, FILE_BYTES);
        log.append(records(0, 1));
        delegate.put(FaultInjectingDisk.FULL_MARKER, new byte[0]);
        assertThrows(OutOfSpaceException.class, () -> log.append(records(1, 2)));
        delegate.delete(Set.of(FaultInjectingDisk.FULL_MARKER));
        log.append(records(1, 2));
        assertEquals(verifyRecords(delegate), 2);
    }
}
