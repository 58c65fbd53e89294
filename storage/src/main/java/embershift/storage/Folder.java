package embershift.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Set;
import java.util.TreeSet;

/** A folder of the system, held by one process at a time. */
public final class Folder implements Disk, Closeable {

    private static final String LOCK = "lock";
    private static final String ASIDE = ".new";

    private final Path path;
    private final FileChannel lockFile;

    private Folder(Path path, FileChannel lockFile) {
        this.path = path;
        this.lockFile = lockFile;
    }

    /** Makes the folder where there is none; fails where another process holds it. */
    public static Folder open(Path path) throws IOException {
        Files.createDirectories(path);
        FileChannel lockFile =
                FileChannel.open(
                        path.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock;
        try {
            lock = lockFile.tryLock();
        } catch (OverlappingFileLockException e) {
            lock = null;
        }
        if (lock == null) {
            lockFile.close();
            throw new IOException(path + " is in use by another process");
        }
        Folder folder = new Folder(path, lockFile);
        for (String name : folder.names()) {
            if (name.endsWith(ASIDE)) {
                // Of a process that was killed before it gave the file its name.
                Files.delete(path.resolve(name));
            }
        }
        return folder;
    }

    @Override
    public Set<String> names() throws IOException {
        Set<String> names = new TreeSet<>();
        try (DirectoryStream<Path> all = Files.newDirectoryStream(path)) {
            for (Path file : all) {
                String name = file.getFileName().toString();
                if (!name.equals(LOCK) && Files.isRegularFile(file)) {
                    names.add(name);
                }
            }
        }
        return names;
    }

    @Override
    public byte[] read(String name) throws IOException {
        return Files.readAllBytes(path.resolve(name));
    }

    @Override
    public Appending append(String name) throws IOException {
        boolean fresh = !Files.exists(path.resolve(name));
        FileChannel channel =
                FileChannel.open(
                        path.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        channel.position(channel.size());
        if (fresh) {
            forceNames();
        }
        return new Appending() {
            @Override
            public void write(ByteBuffer bytes) throws IOException {
                try {
                    while (bytes.hasRemaining()) {
                        channel.write(bytes);
                    }
                } catch (IOException e) {
                    throw new NoRoom(
                            path.resolve(name) + " can't be written: " + e.getMessage(), e);
                }
            }

            @Override
            public void force() throws IOException {
                channel.force(false);
            }

            @Override
            public void close() throws IOException {
                channel.close();
            }
        };
    }

    @Override
    public void cut(String name, long length) throws IOException {
        try (FileChannel channel = FileChannel.open(path.resolve(name), StandardOpenOption.WRITE)) {
            channel.truncate(length);
            channel.force(true);
        }
    }

    @Override
    public void replace(String name, byte[] content) throws IOException {
        Path aside = path.resolve(name + ASIDE);
        try (FileChannel channel =
                FileChannel.open(
                        aside,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer bytes = ByteBuffer.wrap(content);
            try {
                while (bytes.hasRemaining()) {
                    channel.write(bytes);
                }
            } catch (IOException e) {
                throw new NoRoom(aside + " can't be written: " + e.getMessage(), e);
            }
            channel.force(true);
        }
        Files.move(
                aside,
                path.resolve(name),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        forceNames();
    }

    @Override
    public void delete(Set<String> names) throws IOException {
        boolean any = false;
        for (String name : names) {
            any |= Files.deleteIfExists(path.resolve(name));
        }
        if (any) {
            forceNames();
        }
    }

    /** A name is on disk only once its folder is. */
    private void forceNames() throws IOException {
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    @Override
    public void close() throws IOException {
        lockFile.close();
    }
}
