package embershift.program;

import embershift.model.HostId;
import embershift.operations.Bans;
import embershift.protocol.BanList;
import embershift.protocol.Unreadable;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The processes that serve at one address, as they see each other in a folder that they have in common: each holds a byte
 * of a lock file from its yes until it leaves, which the system frees when it dies, however that was, and has written how
 * many descriptors it holds. Beside it lie the hosts out by hand. What can't be read or written is told once each, and the
 * node serves on without. All calls may wait for a disk.
 */
final class Neighbours implements Bans.Keeping {

    /** Processes that can tell each other apart at one address. */
    private static final int MOST = 8;
    /** Where in the lock file the descriptors stand, and the byte that who changes the bans holds. */
    private static final int WORDS = 16;
    private static final int CHANGING = 512;

    private final Path bans;
    private final FileChannel channel;
    private final Consumer<String> log;
    private final Set<String> told = new LinkedHashSet<>();
    private FileLock own;
    /** Whether there was a file of bans: one that is gone since then does not say that none hold. */
    private boolean seen;

    private Neighbours(Path folder, String address, Consumer<String> log) throws IOException {
        this.log = log;
        String name = "embershift-" + address.replaceAll("[^0-9A-Za-z.]", "-");
        bans = folder.resolve(name + ".bans");
        // Kept open: closed, even a second channel to it would give all locks of this process up.
        channel = FileChannel.open(folder.resolve(name + ".lock"), StandardOpenOption.CREATE, StandardOpenOption.READ,
                StandardOpenOption.WRITE);
    }

    /** Null where there is no folder in common, or none that can be used, which the log then says. */
    static Neighbours in(String folder, String address, Consumer<String> log) {
        if (folder == null || folder.isEmpty()) {
            return null;
        }
        try {
            return new Neighbours(Path.of(folder), address, log);
        } catch (IOException | RuntimeException e) {
            log.accept("bans by hand will not outlast this process: " + e);
            return null;
        }
    }

    /** From now on the others see that this process serves. */
    synchronized void serve() {
        try {
            for (int slot = 0; own == null && slot < MOST; slot++) {
                own = locked(slot);
            }
        } catch (IOException e) {
            tell("the others can't see that this process serves", e);
        }
    }

    private void leave() {
        try {
            if (own != null) {
                own.release();
                own = null;
            }
        } catch (IOException e) {
            tell("the lock can't be given up", e);
        }
    }

    /** The lock on a slot, or null while another process, or another node in this one, holds it. */
    private FileLock locked(int slot) throws IOException {
        try {
            return channel.tryLock(slot, 1, false);
        } catch (OverlappingFileLockException e) {
            return null;
        }
    }

    /** What a process tells the others: the descriptors that it holds, and how many tunnels fill a host. */
    record Word(int descriptors, double filling) {
        static final int BYTES = Integer.BYTES + Double.BYTES;
    }

    /** Tells the others this; returns what those that serve here have told. */
    synchronized List<Word> exchange(Word mine) {
        List<Word> words = new ArrayList<>();
        try {
            for (int slot = 0; slot < MOST; slot++) {
                ByteBuffer word = ByteBuffer.allocate(Word.BYTES);
                long at = WORDS + (long) slot * Word.BYTES;
                if (own != null && own.position() == slot) {
                    channel.write(word.putInt(mine.descriptors).putDouble(mine.filling).flip(), at);
                    continue;
                }
                FileLock lock = locked(slot);
                if (lock != null) {
                    lock.release();
                } else {
                    boolean whole = channel.read(word, at) == Word.BYTES;
                    word.flip();
                    words.add(whole ? new Word(Math.max(0, word.getInt()), word.getDouble()) : new Word(0, 0));
                }
            }
        } catch (IOException e) {
            tell("who else serves here can't be seen", e);
        }
        return words;
    }

    /** At the end: gives the slot up; whether another serves here. */
    synchronized boolean replacesThis() {
        List<Word> others = exchange(new Word(0, 0));
        leave();
        return !others.isEmpty();
    }

    @Override
    public synchronized Collection<HostId> read() {
        try {
            if (!Files.exists(bans)) {
                if (seen) {
                    throw new Unreadable("it is gone");
                }
                return List.of();
            }
            seen = true;
            if (Files.size(bans) > BanList.LONGEST) {
                throw new Unreadable("over " + BanList.LONGEST + " bytes");
            }
            return BanList.read(Files.readString(bans, StandardCharsets.UTF_8));
        } catch (IOException | Unreadable e) {
            tell("hosts out by hand can't be read from " + bans, e);
            return null;
        }
    }

    @Override
    public synchronized Collection<HostId> change(HostId host, boolean out, Collection<HostId> known) {
        // Both processes may be told something at once: neither may write over what the other has just written.
        try (FileLock lock = channel.lock(CHANGING, 1, false)) {
            Collection<HostId> before = read();
            Set<HostId> after = new LinkedHashSet<>(before == null ? known : before);
            boolean changed = out ? after.add(host) : after.remove(host);
            if (changed || before == null) {
                if (after.size() > BanList.MOST) {
                    throw new IOException("over " + BanList.MOST + " hosts");
                }
                Path aside = bans.resolveSibling(bans.getFileName() + ".new");
                Files.writeString(aside, BanList.write(after), StandardCharsets.UTF_8);
                Files.move(aside, bans, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
                seen = true;
            }
            return after;
        } catch (IOException | OverlappingFileLockException e) {
            tell("a host out by hand is known to this process only", e);
            return null;
        }
    }

    private void tell(String what, Exception e) {
        if (told.add(what)) {
            log.accept(what + ": " + e.getMessage());
        }
    }
}
