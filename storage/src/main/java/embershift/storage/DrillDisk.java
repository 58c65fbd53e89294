package embershift.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Set;
import java.util.concurrent.locks.LockSupport;

/**
 * A disk for drills: full while a file {@code drill-full} lies in the folder, and slow while one
 * named {@code drill-slow} does. Whoever holds such a drill makes the file and takes it away again.
 */
public final class DrillDisk implements Disk {

    public static final String FULL = "drill-full";
    public static final String SLOW = "drill-slow";
    private static final long SLOW_NS = 1_500_000_000L;

    private final Disk disk;

    public DrillDisk(Disk disk) {
        this.disk = disk;
    }

    private boolean drilled(String which) throws IOException {
        return disk.names().contains(which);
    }

    private void take() throws IOException {
        if (drilled(FULL)) {
            throw new NoRoom("the disk is full, as a drill has it", null);
        }
    }

    @Override
    public Set<String> names() throws IOException {
        return disk.names();
    }

    @Override
    public byte[] read(String name) throws IOException {
        return disk.read(name);
    }

    @Override
    public Appending append(String name) throws IOException {
        Appending file = disk.append(name);
        return new Appending() {
            @Override
            public void write(ByteBuffer bytes) throws IOException {
                if (drilled(FULL)) {
                    // As a real one does: the first part still fits.
                    file.write(bytes.slice().limit(bytes.remaining() / 2));
                }
                take();
                file.write(bytes);
            }

            @Override
            public void force() throws IOException {
                if (drilled(SLOW)) {
                    LockSupport.parkNanos(SLOW_NS);
                }
                file.force();
            }

            @Override
            public void close() throws IOException {
                file.close();
            }
        };
    }

    @Override
    public void cut(String name, long length) throws IOException {
        disk.cut(name, length);
    }

    @Override
    public void replace(String name, byte[] content) throws IOException {
        take();
        disk.replace(name, content);
    }

    @Override
    public void delete(Set<String> names) throws IOException {
        disk.delete(names);
    }
}
