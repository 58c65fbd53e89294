package embershift.program;

import embershift.routing.UsedTunnelIds;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.security.SecureRandom;

/** The file through which processes at one address share the ids of their tunnels. */
final class UsedIdsFile {

    private static final String SUFFIX = ".ids.1";

    private UsedIdsFile() {}

    /**
     * Maps the file, which is created if it does not exist. Blocks on the disk.
     *
     * @param deployment the deployment's id; each has a file of its own
     */
    static UsedTunnelIds open(String folder, String address, String deployment) throws IOException {
        Path file = Path.of(folder, SiblingProcesses.fileNamePrefix(address, deployment) + SUFFIX);
        if (!Files.exists(file)) {
            create(file);
        }
        try (FileChannel channel =
                FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            if (channel.size() != UsedTunnelIds.SIZE_BYTES) {
                throw new IOException(file + " has " + channel.size() + " bytes");
            }
            MappedByteBuffer memory =
                    channel.map(FileChannel.MapMode.READ_WRITE, 0, UsedTunnelIds.SIZE_BYTES);
            return new UsedTunnelIds(memory.load());
        }
    }

    /**
     * Creates the file with its whole content at once, as another process may do so too. All of its
     * blocks are written: a mapped page without one would fail on a full disk.
     */
    private static void create(Path file) throws IOException {
        ByteBuffer content =
                ByteBuffer.allocate(UsedTunnelIds.SIZE_BYTES).order(ByteOrder.nativeOrder());
        content.putLong(0, new SecureRandom().nextLong());
        Path temporary =
                file.resolveSibling(file.getFileName() + ".new-" + ProcessHandle.current().pid());
        Files.write(temporary, content.array());
        try {
            Files.createLink(file, temporary);
        } catch (FileAlreadyExistsException e) {
            // Another process was faster.
        } catch (UnsupportedOperationException e) {
            throw new IOException("the file system does not support hard links", e);
        } finally {
            Files.deleteIfExists(temporary);
        }
    }
}
