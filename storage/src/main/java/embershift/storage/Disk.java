package embershift.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Set;

/**
 * The files of one directory. An interface, so that full, slow and failing disks can be simulated
 * in tests. File names are plain, without separators. All calls may block.
 */
public interface Disk {

    /** Returns the names of all files. */
    Set<String> fileNames() throws IOException;

    /** Reads a whole file. */
    byte[] read(String name) throws IOException;

    /** Opens a file for appending; creates it if it does not exist. */
    AppendFile openForAppend(String name) throws IOException;

    /** Truncates a file to {@code length} bytes. The change is durable when this returns. */
    void truncate(String name, long length) throws IOException;

    /**
     * Replaces the content of a file atomically: after a crash at any point it has either the old
     * or the new content. The change is durable when this returns.
     *
     * @throws OutOfSpaceException if the disk is full; the old content is unchanged
     */
    void replace(String name, byte[] content) throws IOException;

    /** Deletes files; ignores files that do not exist. */
    void delete(Set<String> names) throws IOException;

    /** A file open for appending. */
    interface AppendFile extends Closeable {

        /**
         * Appends all remaining bytes.
         *
         * @throws OutOfSpaceException if the disk is full; part of the bytes may have been written
         */
        void write(ByteBuffer bytes) throws IOException;

        /** Returns once everything written so far is durable. */
        void force() throws IOException;
    }
}
