package embershift.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Set;
import java.util.concurrent.locks.LockSupport;

/**
 * A disk that injects faults for failure tests: full while a file {@value #FULL_MARKER} exists in
 * the directory, and slow while {@value #SLOW_MARKER} exists. A test creates and deletes these
 * files.
 */
public final class FaultInjectingDisk implements Disk {

    /** Name of the file that makes the disk full. */
    public static final String FULL_MARKER = "drill-full";

    /** Name of the file that makes each sync take 1.5 s longer. */
    public static final String SLOW_MARKER = "drill-slow";

    private static final long SLOW_SYNC_NANOS = 1_500_000_000L;

    private final Disk disk;

    /** Wraps a disk. */
    public FaultInjectingDisk(Disk disk) {
        this.disk = disk;
    }

    private boolean hasMarker(String marker) throws IOException {
        return disk.fileNames().contains(marker);
    }

    private static OutOfSpaceException full() {
        return new OutOfSpaceException("the disk is full (injected fault)", null);
    }

    @Override
    public Set<String> fileNames() throws IOException {
        return disk.fileNames();
    }

    @Override
    public byte[] read(String name) throws IOException {
        return disk.read(name);
    }

    @Override
    public AppendFile openForAppend(String name) throws IOException {
        return new FaultInjectingFile(disk.openForAppend(name));
    }

    @Override
    public void truncate(String name, long length) throws IOException {
        disk.truncate(name, length);
    }

    @Override
    public void replace(String name, byte[] content) throws IOException {
        if (hasMarker(FULL_MARKER)) {
            throw full();
        }
        disk.replace(name, content);
    }

    @Override
    public void delete(Set<String> names) throws IOException {
        disk.delete(names);
    }

    private final class FaultInjectingFile implements AppendFile {

        private final AppendFile file;

        FaultInjectingFile(AppendFile file) {
            this.file = file;
        }

        @Override
        public void write(ByteBuffer bytes) throws IOException {
            if (hasMarker(FULL_MARKER)) {
                // A real disk that fills up accepts the first part of a write.
                file.write(bytes.slice().limit(bytes.remaining() / 2));
                throw full();
            }
            file.write(bytes);
        }

        @Override
        public void force() throws IOException {
            if (hasMarker(SLOW_MARKER)) {
                LockSupport.parkNanos(SLOW_SYNC_NANOS);
            }
            file.force();
        }

        @Override
        public void close() throws IOException {
            file.close();
        }
    }
}
