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
 * A folder in memory, for simulations: what was not forced is lost in a crash, all of it or in
 * part.
 */
public final class MemoryDisk implements Disk {

    private static final class Content {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        private int forced;
    }

    private final TreeMap<String, Content> files = new TreeMap<>();
    private boolean full;
    private boolean dying;

    /**
     * Whether it takes nothing more from now on, but for the first half of what is written next.
     */
    public void full(boolean now) {
        full = now;
    }

    /**
     * Whether the machine ends before anything more is forced: what is written until then may be
     * lost.
     */
    public void dying(boolean now) {
        dying = now;
    }

    /**
     * The machine ends: of what was not forced only a beginning is left, as long as chance has it.
     */
    public void crash(Random chance) {
        for (Content content : files.values()) {
            int kept = content.forced + chance.nextInt(content.bytes.size() - content.forced + 1);
            set(content, Arrays.copyOf(content.bytes.toByteArray(), kept));
        }
    }

    /** Puts a file there, as if it had been so all along. */
    public void put(String name, byte[] bytes) {
        Content content = new Content();
        set(content, bytes);
        files.put(name, content);
    }

    private static void set(Content content, byte[] bytes) {
        content.bytes.reset();
        content.bytes.writeBytes(bytes);
        content.forced = bytes.length;
    }

    @Override
    public Set<String> names() {
        return new TreeSet<>(files.keySet());
    }

    @Override
    public byte[] read(String name) throws IOException {
        return content(name).bytes.toByteArray();
    }

    private Content content(String name) throws IOException {
        Content content = files.get(name);
        if (content == null) {
            throw new IOException("there is no " + name);
        }
        return content;
    }

    @Override
    public Appending append(String name) {
        Content content = files.computeIfAbsent(name, none -> new Content());
        return new Appending() {
            @Override
            public void write(ByteBuffer bytes) throws IOException {
                int many = full ? bytes.remaining() / 2 : bytes.remaining();
                byte[] part = new byte[many];
                bytes.get(part);
                content.bytes.writeBytes(part);
                if (full) {
                    throw new NoRoom("full", null);
                }
            }

            @Override
            public void force() throws IOException {
                if (dying) {
                    throw new IOException("the machine has ended");
                }
                content.forced = content.bytes.size();
            }

            @Override
            public void close() {}
        };
    }

    @Override
    public void cut(String name, long length) throws IOException {
        set(content(name), Arrays.copyOf(content(name).bytes.toByteArray(), (int) length));
    }

    @Override
    public void replace(String name, byte[] bytes) throws IOException {
        if (dying) {
            throw new IOException("the machine has ended");
        }
        if (full) {
            throw new NoRoom("full", null);
        }
        put(name, bytes);
    }

    @Override
    public void delete(Set<String> names) {
        files.keySet().removeAll(names);
    }
}
