package embershift.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Set;

/**
 * The files of one folder, as this package needs them: a seam, so that a full, slow or failing disk
 * can be tried without the machine's. Names are plain, without separators. All calls may wait.
 */
public interface Disk {

    /** The names of all files. */
    Set<String> names() throws IOException;

    /** The whole file. */
    byte[] read(String name) throws IOException;

    /** Opens a file to write on at its end; makes it where there is none. */
    Appending append(String name) throws IOException;

    /** Shortens a file to so many bytes; on disk when this returns. */
    void cut(String name, long length) throws IOException;

    /**
     * Gives a file this content, whole or not at all, whatever happens meanwhile; on disk when this
     * returns.
     */
    void replace(String name, byte[] content) throws IOException;

    /** Takes files away; it is no harm where there are none. */
    void delete(Set<String> names) throws IOException;

    /** A file that grows. */
    interface Appending extends Closeable {

        /** Writes all of it; where that fails, some of it may have been written. */
        void write(ByteBuffer bytes) throws IOException;

        /** Returns once all that was written is on disk. */
        void force() throws IOException;
    }
}
