package embershift.storage;

import static org.testng.Assert.assertEquals;

import embershift.testing.GoldenSamples;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import org.testng.annotations.Test;

/** Guards the format of stored files: they must stay byte for byte those of earlier versions. */
public class StoredFormatTest {

    private static final String GOLDEN = "stored-format.txt";
    private static final long FILE_BYTES = 120;

    private static byte[] body(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static RecordLog.NewRecord record(long retentionKey, String text) {
        return new RecordLog.NewRecord(retentionKey, body(text));
    }

    private static MemoryDisk writeSampleFiles() throws IOException {
        MemoryDisk disk = new MemoryDisk();
        RecordLog log = RecordLog.open(disk, FILE_BYTES);
        log.append(List.of(record(7, "first"), record(-1, "")));
        log.append(List.of(record(Long.MAX_VALUE, "third, in the same file as those before it")));
        log.append(List.of(record(9, "fourth")));
        log.force();
        ChecksummedFile.write(disk, "identity", body("who"));
        new SnapshotStore(disk).write(3, body("an older snapshot"));
        new SnapshotStore(disk).write(1234567, body("state"));
        return disk;
    }

    @Test
    public void fileFormatIsUnchanged() throws IOException {
        MemoryDisk disk = writeSampleFiles();
        GoldenSamples samples = new GoldenSamples();
        for (String name : new TreeSet<>(disk.fileNames())) {
            samples.bytes(name, disk.read(name));
        }
        samples.assertMatch(getClass(), GOLDEN);
    }

    @Test
    public void filesOfEarlierVersionAreRead() throws IOException {
        MemoryDisk disk = new MemoryDisk();
        for (String name : writeSampleFiles().fileNames()) {
            disk.put(name, GoldenSamples.expectedBytes(getClass(), GOLDEN, name));
        }
        RecordLog.Recovery recovery = RecordLog.open(disk, FILE_BYTES).takeRecovery();
        assertEquals(recovery.truncatedBytes(), 0);
        assertEquals(
                recovery.records().stream().map(RecordLog.StoredRecord::retentionKey).toList(),
                List.of(7L, -1L, Long.MAX_VALUE, 9L));
        assertEquals(
                recovery.records().get(2).body(),
                body("third, in the same file as those before it"));
        assertEquals(ChecksummedFile.read(disk, "identity"), body("who"));
        assertEquals(new SnapshotStore(disk).latest().orElseThrow(), body("state"));
    }

    /** A file system directory has the same file names and contents, and a lock file. */
    @Test
    public void directoryHoldsTheSameFiles() throws IOException {
        Path path = Files.createTempDirectory("stored");
        try (FileSystemDisk directory = FileSystemDisk.open(path)) {
            MemoryDisk disk = writeSampleFiles();
            for (String name : disk.fileNames()) {
                directory.replace(name, disk.read(name));
            }
            try (var files = Files.list(path)) {
                assertEquals(
                        new TreeSet<>(files.map(file -> file.getFileName().toString()).toList()),
                        new TreeSet<>(
                                List.of(
                                        "identity",
                                        "lock",
                                        "log-0000000000000001",
                                        "log-0000000000000004",
                                        "snapshot-0000000001234567")));
            }
            for (String name : disk.fileNames()) {
                assertEquals(Files.readAllBytes(path.resolve(name)), disk.read(name));
            }
            Files.writeString(path.resolve("identity.new"), "left by a process that was killed");
            assertEquals(disk.fileNames().size(), 4);
        }
        FileSystemDisk.open(path).close();
        assertEquals(Files.exists(path.resolve("identity.new")), false);
    }

    /** Any changed byte must fail the comparison with the golden samples. */
    @Test
    public void changedByteIsDetected() throws IOException {
        MemoryDisk disk = writeSampleFiles();
        Random random = new Random(1);
        for (String name : disk.fileNames()) {
            byte[] changed = disk.read(name);
            changed[random.nextInt(changed.length)] ^= 1;
            GoldenSamples samples = new GoldenSamples();
            for (String each : disk.fileNames()) {
                samples.bytes(each, each.equals(name) ? changed : disk.read(each));
            }
            org.testng.Assert.assertThrows(
                    AssertionError.class, () -> samples.assertMatch(getClass(), GOLDEN));
        }
    }
}
