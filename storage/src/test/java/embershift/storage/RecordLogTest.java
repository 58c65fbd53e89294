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

/**
 * What is found again after writes that ended anywhere, and after what was written has been
 * changed.
 */
public class RecordLogTest {

    private static final long FILE = 200;

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

    private static MemoryDisk written(int many) throws IOException {
        MemoryDisk disk = new MemoryDisk();
        RecordLog log = RecordLog.open(disk, FILE);
        for (int i = 0; i < many; i++) {
            log.append(records(i, i + 1));
            log.force();
        }
        return disk;
    }

    private static int found(Disk disk) throws IOException {
        RecordLog.Recovery found = RecordLog.open(disk, FILE).takeRecovery();
        for (int i = 0; i < found.records().size(); i++) {
            assertEquals(found.records().get(i).retentionKey(), i);
            assertEquals(found.records().get(i).body(), records(i, i + 1).get(0).body());
        }
        return found.records().size();
    }

    /** The files of a disk, with one of them in place of what it was. */
    private static MemoryDisk with(Disk disk, String name, byte[] content) throws IOException {
        MemoryDisk other = new MemoryDisk();
        for (String each : disk.fileNames()) {
            other.put(each, each.equals(name) ? content : disk.read(each));
        }
        return other;
    }

    private static String last(Disk disk) throws IOException {
        return disk.fileNames().stream().reduce((one, other) -> other).orElseThrow();
    }

    @Test
    public void killAtEachByteOfTheLastFileLosesOnlyWhatWasNotWhole() throws Exception {
        MemoryDisk disk = written(20);
        assertTrue(disk.fileNames().size() > 3);
        String name = last(disk);
        byte[] whole = disk.read(name);
        int before = 20;
        for (int length = whole.length; length >= 0; length--) {
            MemoryDisk cut = with(disk, name, Arrays.copyOf(whole, length));
            RecordLog log = RecordLog.open(cut, FILE);
            RecordLog.Recovery found = log.takeRecovery();
            int many = found.records().size();
            assertTrue(many == before || many == before - 1, length + ": " + many);
            assertFalse(found.isUntrusted());
            before = many;
            log.append(records(many, many + 2));
            log.force();
            assertEquals(found(cut), many + 2);
        }
        assertTrue(before < 20);
    }

    @Test
    public void byteChangedAnywhereIsFoundAndOnlyTheLastRecordIsEverCutForIt() throws Exception {
        MemoryDisk disk = written(20);
        int cuts = 0;
        int refused = 0;
        for (String name : disk.fileNames()) {
            byte[] content = disk.read(name);
            for (int at = 0; at < content.length; at++) {
                byte[] changed = content.clone();
                changed[at] ^= (byte) (1 << (at % 8));
                MemoryDisk other = with(disk, name, changed);
                try {
                    RecordLog.Recovery found = RecordLog.open(other, FILE).takeRecovery();
                    assertEquals(found.records().size(), 19, name + " at " + at);
                    assertTrue(found.isUntrusted());
                    cuts++;
                } catch (CorruptDataException e) {
                    assertFalse(e.getMessage().contains("\n"));
                    refused++;
                }
            }
        }
        assertTrue(cuts > 20 && refused > 400, cuts + " " + refused);
    }

    @Test
    public void fileThatIsMissingInTheMiddleIsRefused() throws Exception {
        MemoryDisk disk = written(20);
        disk.delete(Set.of(disk.fileNames().stream().skip(1).findFirst().orElseThrow()));
        assertThrows(CorruptDataException.class, () -> RecordLog.open(disk, FILE));
    }

    @Test
    public void fullDiskHarmsNothingAndIsUsedAgainOnceThereIsRoom() throws Exception {
        MemoryDisk disk = new MemoryDisk();
        RecordLog log = RecordLog.open(disk, FILE);
        int many = 0;
        for (int i = 0; i < 40; i++) {
            int next = many;
            disk.setFull(i % 3 != 0);
            if (i % 3 == 0) {
                log.append(records(next, next + 1));
                log.force();
                many++;
            } else {
                assertThrows(OutOfSpaceException.class, () -> log.append(records(next, next + 1)));
            }
            disk.setFull(false);
            MemoryDisk copy = with(disk, null, null);
            assertEquals(found(copy), many);
        }
        assertEquals(found(disk), many);
    }

    @Test
    public void oldestFilesGoOnceTheirMarksAreBelowAndTheRestIsRead() throws Exception {
        MemoryDisk disk = written(20);
        RecordLog log = RecordLog.open(disk, FILE);
        int files = log.fileCount();
        log.discardBelow(10);
        assertTrue(log.fileCount() < files);
        List<RecordLog.StoredRecord> left = RecordLog.open(disk, FILE).takeRecovery().records();
        assertTrue(left.get(0).retentionKey() <= 10 && left.get(0).retentionKey() > 0);
        assertEquals(left.get(left.size() - 1).retentionKey(), 19);
    }

    @Test
    public void folderOfTheSystemKeepsTheSameAndBelongsToOneAtATime() throws Exception {
        Path path = Files.createTempDirectory("embershift");
        try (FileSystemDisk folder = FileSystemDisk.open(path)) {
            RecordLog log = RecordLog.open(folder, FILE);
            log.append(records(0, 20));
            log.force();
            log.close();
            assertEquals(found(folder), 20);
            new SnapshotStore(folder).write(3, new byte[] {1});
            new SnapshotStore(folder).write(4, new byte[] {2});
            assertEquals(new SnapshotStore(folder).latest().orElseThrow(), new byte[] {2});
            assertThrows(IOException.class, () -> FileSystemDisk.open(path));
            for (String name : folder.fileNames()) {
                folder.delete(Set.of(name));
            }
        }
        Files.delete(path.resolve("lock"));
        Files.delete(path);
    }

    @Test
    public void snapshotThatWasChangedOrCutIsRefused() throws Exception {
        MemoryDisk disk = new MemoryDisk();
        new SnapshotStore(disk).write(1, "content".getBytes(StandardCharsets.UTF_8));
        byte[] whole = disk.read(last(disk));
        for (int at = 0; at < whole.length; at++) {
            byte[] changed = whole.clone();
            changed[at] ^= 4;
            assertThrows(
                    CorruptDataException.class,
                    () -> new SnapshotStore(with(disk, last(disk), changed)).latest());
            byte[] cut = Arrays.copyOf(whole, at);
            assertThrows(
                    CorruptDataException.class,
                    () -> new SnapshotStore(with(disk, last(disk), cut)).latest());
        }
    }

    @Test
    public void drillFillsTheDiskUntilItsFileIsTakenAway() throws Exception {
        MemoryDisk under = new MemoryDisk();
        FaultInjectingDisk disk = new FaultInjectingDisk(under);
        RecordLog log = RecordLog.open(disk, FILE);
        log.append(records(0, 1));
        under.put(FaultInjectingDisk.FULL_MARKER, new byte[0]);
        assertThrows(OutOfSpaceException.class, () -> log.append(records(1, 2)));
        under.delete(Set.of(FaultInjectingDisk.FULL_MARKER));
        log.append(records(1, 2));
        assertEquals(found(under), 2);
    }
}
