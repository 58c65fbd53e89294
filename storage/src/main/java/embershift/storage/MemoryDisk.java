package embershift.storage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * An in-memory directory for simulations. A simulated crash loses some or all of the bytes that
 * were not forced.
 */
public final class MemoryDisk implements Disk {

    private static final class Content {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        private int durableLength;

        void setDurable(byte[] newBytes) {
            bytes.reset();
            bytes.writeBytes(newBytes);
            durableLength = newBytes.length;
        }
    }

    private final TreeMap<String, Content> files = new TreeMap<>();
    private boolean isFull;
    private boolean isCrashing;

    /** Makes the disk full: each write stores only its first half and then fails. */
    public void setFull(boolean full) {
        isFull = full;
    }

    /** Makes each sync fail, as on a machine that is about to crash. */
    public void setCrashing(boolean crashing) {
        isCrashing = crashing;
    }

    /** Simulates a crash: of the bytes not forced, each file keeps a prefix of random length. */
    public void crash(Random random) {
        for (Content content : files.values()) {
            int unforced = content.bytes.size() - content.durableLength;
            int keptLength = content.durableLength + random.nextInt(unforced + 1);
            content.setDurable(Arrays.copyOf(content.bytes.toByteArray(), keptLength));
        }
    }

    /** Creates or replaces a file with durable content. */
    public void put(String name, byte[] bytes) {
        Content content = new Content();
        content.setDurable(bytes);
        files.put(name, content);
    }

    @Override
    public Set<String> fileNames() {
        return new TreeSet<>(files.keySet());
    }

    @Override
    public byte[] read(String name) throws IOException {
        return content(name).bytes.toByteArray();
    }

    private Content content(String name) throws IOException {
        Content content = files.get(name);
        if (content == null) {
            throw new IOException("no such file: " + name);
        }
        return content;
    }

    @Override
    public AppendFile openForAppend(String name) {
        return new MemoryFile(files.computeIfAbsent(name, none -> new Content()));
    }

    @Override
    public void truncate(String name, long length) throws IOException {
        Content content = content(name);
        content.setDurable(Arrays.copyOf(content.bytes.toByteArray(), (int) length));
    }

    @Override
    public void replace(String name, byte[] bytes) throws IOException {
        checkNotCrashing();
        if (isFull) {
            throw new OutOfSpaceException("full", null);
        }
        put(name, bytes);
    }

    @Override
    public void delete(Set<String> names) {
        files.keySet().removeAll(names);
    }

    private void checkNotCrashing() throws IOException {
        if (isCrashing) {
            throw new IOException("simulated machine crash");
        }
    }

    private final class MemoryFile implements AppendFile {

        private final Content content;

        MemoryFile(Content content) {
            this.content = content;
        }

        @Override
        public void write(ByteBuffer bytes) throws IOException {
            int acceptedLength = isFull ? bytes.remaining() / 2 : bytes.remaining();
            byte[] accepted = new byte[acceptedLength];
            bytes.get(accepted);
            content.bytes.writeBytes(accepted);
            if (isFull) {
                throw new OutOfSpaceException("full", null);
            }
        }

        @Override
        public void force() throws IOException {
            checkNotCrashing();
            content.durableLength = content.bytes.size();
        }

        @Override
        public void close() {
            // There is nothing to release.
        }
    }
}
