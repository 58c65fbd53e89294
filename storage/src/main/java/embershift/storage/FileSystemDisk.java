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

/**
 * A directory of the file system. A lock file restricts it to one process at a time; the lock is
 * released when the process ends.
 */
public final class FileSystemDisk implements Disk, Closeable {

    private static final String LOCK_FILE = "lock";

    /** Suffix of a temporary file that is written and then atomically renamed. */
    private static final String TEMPORARY_SUFFIX = ".new";

    private final Path directory;
    private final FileChannel lockFile;

    private FileSystemDisk(Path directory, FileChannel lockFile) {
        this.directory = directory;
        this.lockFile = lockFile;
    }

    /**
     * Opens a directory; creates it if it does not exist.
     *
     * @throws IOException if another process has it open
     */
    public static FileSystemDisk open(Path directory) throws IOException {
        Files.createDirectories(directory);
        FileChannel lockFile =
                FileChannel.open(
                        directory.resolve(LOCK_FILE),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE);
        if (!tryLock(lockFile)) {
            lockFile.close();
            throw new IOException(directory + " is in use by another process");
        }
        FileSystemDisk disk = new FileSystemDisk(directory, lockFile);
        disk.deleteTemporaryFiles();
        return disk;
    }

    private static boolean tryLock(FileChannel lockFile) throws IOException {
        try {
            FileLock lock = lockFile.tryLock();
            return lock != null;
        } catch (OverlappingFileLockException e) {
            // The lock is held by this process.
            return false;
        }
    }

    /** Deletes files left by a process that was killed before it renamed them. */
    private void deleteTemporaryFiles() throws IOException {
        for (String name : fileNames()) {
            if (name.endsWith(TEMPORARY_SUFFIX)) {
                Files.delete(directory.resolve(name));
            }
        }
    }

    @Override
    public Set<String> fileNames() throws IOException {
        Set<String> names = new TreeSet<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(directory)) {
            for (Path file : files) {
                String name = file.getFileName().toString();
                if (!name.equals(LOCK_FILE) && Files.isRegularFile(file)) {
                    names.add(name);
                }
            }
        }
        return names;
    }

    @Override
    public byte[] read(String name) throws IOException {
        return Files.readAllBytes(directory.resolve(name));
    }

    @Override
    public AppendFile openForAppend(String name) throws IOException {
        Path path = directory.resolve(name);
        boolean isNew = !Files.exists(path);
        FileChannel channel =
                FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        channel.position(channel.size());
        if (isNew) {
            forceDirectory();
        }
        return new ChannelAppendFile(path, channel);
    }

    @Override
    public void truncate(String name, long length) throws IOException {
        try (FileChannel channel =
                FileChannel.open(directory.resolve(name), StandardOpenOption.WRITE)) {
            channel.truncate(length);
            channel.force(true);
        }
    }

    @Override
    public void replace(String name, byte[] content) throws IOException {
        Path temporary = directory.resolve(name + TEMPORARY_SUFFIX);
        try (FileChannel channel =
                FileChannel.open(
                        temporary,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            writeFully(temporary, channel, ByteBuffer.wrap(content));
            channel.force(true);
        }
        Files.move(
                temporary,
                directory.resolve(name),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        forceDirectory();
    }

    @Override
    public void delete(Set<String> names) throws IOException {
        boolean anyDeleted = false;
        for (String name : names) {
            anyDeleted |= Files.deleteIfExists(directory.resolve(name));
        }
        if (anyDeleted) {
            forceDirectory();
        }
    }

    /** Makes file names durable: they are part of the directory, not of the file. */
    private void forceDirectory() throws IOException {
        try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private static void writeFully(Path path, FileChannel channel, ByteBuffer bytes)
            throws OutOfSpaceException {
        try {
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
        } catch (IOException e) {
            throw new OutOfSpaceException(path + " can't be written: " + e.getMessage(), e);
        }
    }

    @Override
    public void close() throws IOException {
        lockFile.close();
    }

    private record ChannelAppendFile(Path path, FileChannel channel) implements AppendFile {

        @Override
        public void write(ByteBuffer bytes) throws IOException {
            writeFully(path, channel, bytes);
        }

        @Override
        public void force() throws IOException {
            channel.force(false);
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}
