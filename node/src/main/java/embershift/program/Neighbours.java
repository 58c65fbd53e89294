package embershift.program;

import embershift.model.HostId;
import embershift.operations.Bans;
import embershift.protocol.BanList;
import embershift.protocol.MalformedDataException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.zip.CRC32;

/**
 * The processes that serve at one address, as they see each other in a folder that they have in
 * common: each holds a byte of a lock file from its yes until it leaves, which the system frees
 * when it dies, however that was, and has written how many descriptors it holds. Beside it lie the
 * hosts out by hand, a list a change. Nobody waits for another here, as that one may be stopped.
 * What can't be read or written is told once each, and the node serves on without. All calls may
 * wait for a disk.
 */
final class Neighbours implements Bans.Keeping {

    /** Processes that can tell each other apart at one address. */
    private static final int MOST = 8;

    /** Where in the lock file the descriptors stand. */
    private static final int WORDS = 16;

    /** Where it stands whose each slot is. */
    private static final int OWNERS = WORDS + MOST * Word.BYTES;

    /**
     * Lists of bans that lie there at a time; times that a change, or a reading, is tried while
     * others write.
     */
    private static final int LISTS = 16;

    private static final int MOST_TRIES = 64;

    private final Path folder;

    /** How the lists' names begin; their numbers follow. */
    private final String lists;

    private final FileChannel channel;

    /**
     * What tells the deployment that this process belongs to; what another one's left here concerns
     * nobody else.
     */
    private final int deployment;

    private final Consumer<String> log;
    private final Set<String> told = new LinkedHashSet<>();
    private FileLock own;

    /**
     * The number of the last list seen, or 0: that it is gone since then does not say that none
     * hold.
     */
    private long last;

    private Neighbours(Path folder, String address, String belongsTo, Consumer<String> log)
            throws IOException {
        this.log = log;
        this.folder = folder;
        deployment = sum(belongsTo);
        lists = lists(address, belongsTo);
        // Kept open: closed, even a second channel to it would give all locks of this process up.
        channel =
                FileChannel.open(
                        folder.resolve(named(address) + ".lock"),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE);
    }

    private static String named(String address) {
        return "embershift-" + address.replaceAll("[^0-9A-Za-z.]", "-");
    }

    private static int sum(String belongsTo) {
        CRC32 sum = new CRC32();
        sum.update(belongsTo.getBytes(StandardCharsets.UTF_8));
        return (int) sum.getValue() == 0 ? 1 : (int) sum.getValue();
    }

    /** How the names of the lists of bans begin of a deployment's node at that address. */
    static String lists(String address, String belongsTo) {
        return named(address) + "." + Integer.toHexString(sum(belongsTo)) + ".bans.";
    }

    /**
     * Null where there is no folder in common, or none that can be used, which the log then says.
     * {@code belongsTo}: as {@code NodeConfiguration.deploymentIdentity} has it.
     */
    static Neighbours in(String folder, String address, String belongsTo, Consumer<String> log) {
        if (folder == null || folder.isEmpty()) {
            return null;
        }
        try {
            return new Neighbours(Path.of(folder), address, belongsTo, log);
        } catch (IOException | RuntimeException e) {
            log.accept("bans by hand will not outlast this process: " + e);
            return null;
        }
    }

    /** From now on the others see that this process serves. */
    synchronized void serve() {
        try {
            for (int slot = 0; own == null && slot < MOST; slot++) {
                own = locked(slot, false);
                if (own != null) {
                    channel.write(
                            ByteBuffer.allocate(Integer.BYTES).putInt(deployment).flip(),
                            owner(slot));
                }
            }
        } catch (IOException e) {
            tell("the others can't see that this process serves", e);
        }
    }

    private static long owner(int slot) {
        return OWNERS + (long) slot * Integer.BYTES;
    }

    /**
     * Whether a process of this deployment holds that slot; one that does not tell is taken for
     * one.
     */
    private boolean ofOurs(int slot) throws IOException {
        ByteBuffer owner = ByteBuffer.allocate(Integer.BYTES);
        int told = channel.read(owner, owner(slot)) == Integer.BYTES ? owner.flip().getInt() : 0;
        return told == 0 || told == deployment;
    }

    /**
     * Whether a process of another deployment serves at this address: the system would deal its
     * clients out to both.
     */
    synchronized boolean othersHere() {
        boolean others = false;
        try {
            for (int slot = 0; slot < MOST; slot++) {
                others |= !isOwn(slot) && held(slot) && !ofOurs(slot);
            }
        } catch (IOException e) {
            tell("who else serves here can't be seen", e);
        }
        return others;
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

    /**
     * The lock on a slot, or null while another process, or another node in this one, holds it.
     * {@code shared}: only to look; one that is stopped while it looks must not be taken by the
     * others for one that serves.
     */
    private FileLock locked(int slot, boolean shared) throws IOException {
        try {
            return channel.tryLock(slot, 1, shared);
        } catch (OverlappingFileLockException e) {
            return null;
        }
    }

    private boolean isOwn(int slot) {
        return own != null && own.position() == slot;
    }

    /** Whether another than this one holds the slot. */
    private boolean held(int slot) throws IOException {
        FileLock lock = locked(slot, true);
        if (lock != null) {
            lock.release();
        }
        return lock == null;
    }

    /**
     * What a process tells the others: the descriptors that it holds or may yet take, and how many
     * tunnels fill a host.
     */
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
                if (isOwn(slot)) {
                    channel.write(word.putInt(mine.descriptors).putDouble(mine.filling).flip(), at);
                    continue;
                }
                if (held(slot) && ofOurs(slot)) {
                    boolean whole = channel.read(word, at) == Word.BYTES;
                    word.flip();
                    words.add(
                            whole
                                    ? new Word(Math.max(0, word.getInt()), word.getDouble())
                                    : new Word(0, 0));
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
        Latest latest = latest();
        return latest == null ? null : latest.bans;
    }

    /**
     * The last list that was written, and its number; 0 and none where there has been no list yet.
     */
    private record Latest(long number, Collection<HostId> bans) {}

    /**
     * Null where it can't be told; the number of the last list that was seen stands in {@code last}
     * all the same.
     */
    private Latest latest() {
        try {
            for (int tries = 0; tries < MOST_TRIES; tries++) {
                long before = last;
                look();
                if (last == 0) {
                    return new Latest(0, List.of());
                }
                Path list = list(last);
                try {
                    if (Files.size(list) > BanList.MAX_CHARS) {
                        throw new MalformedDataException("over " + BanList.MAX_CHARS + " bytes");
                    }
                    return new Latest(
                            last, BanList.parse(Files.readString(list, StandardCharsets.UTF_8)));
                } catch (NoSuchFileException e) {
                    // Others wrote so many meanwhile that this one was swept away; or all lists are
                    // gone.
                    if (before == last) {
                        throw new MalformedDataException("it is gone");
                    }
                }
            }
            throw new MalformedDataException("others write faster than this process reads");
        } catch (IOException | DirectoryIteratorException | MalformedDataException e) {
            tell("hosts out by hand can't be read from " + folder.resolve(lists), e);
            return null;
        }
    }

    private Path list(long number) {
        return folder.resolve(lists + number);
    }

    /**
     * Finds the last list: one at a time from the last one known, or all of them where that one is
     * not there.
     */
    private void look() throws IOException {
        if (last == 0 || !Files.exists(list(last))) {
            try (DirectoryStream<Path> all = Files.newDirectoryStream(folder, lists + "*")) {
                for (Path path : all) {
                    last = Math.max(last, number(path));
                }
            }
        }
        while (Files.exists(list(last + 1))) {
            last++;
        }
    }

    /** 0 for what is no list. */
    private long number(Path path) {
        String number = path.getFileName().toString().substring(lists.length());
        return number.matches("[1-9]\\d{0,17}") ? Long.parseLong(number) : 0;
    }

    /**
     * Each change is a list of its own under the next number, and only one process can give a file
     * a name that none has: so nobody holds anything that the others wait for, and who was stopped
     * in the middle of a change finds, when it goes on, that its number has gone. A call that
     * changes nothing takes a number too: else one that was stopped before it could still go over
     * it.
     */
    @Override
    public synchronized Bans.Kept change(
            HostId host, boolean out, Collection<HostId> known, BooleanSupplier inTime) {
        try {
            for (int tries = 0; tries < MOST_TRIES; tries++) {
                Latest before = latest();
                Set<HostId> after = new LinkedHashSet<>(before == null ? known : before.bans);
                if (out) {
                    after.add(host);
                } else {
                    after.remove(host);
                }
                if (after.size() > BanList.MAX_HOSTS) {
                    throw new IOException("over " + BanList.MAX_HOSTS + " hosts");
                }
                long next = last + 1;
                if (written(next, BanList.format(after))) {
                    if (!inTime.getAsBoolean()) {
                        // Stopped so long that its number may have been given, swept away and given
                        // again.
                        return new Bans.Kept(Bans.End.TOO_LATE, read());
                    }
                    last = next;
                    sweep();
                    return new Bans.Kept(Bans.End.KEPT, after);
                }
                if (!inTime.getAsBoolean()) {
                    return new Bans.Kept(Bans.End.TOO_LATE, read());
                }
            }
            throw new IOException("others change them all the time");
        } catch (IOException | DirectoryIteratorException e) {
            tell("a host out by hand is known to this process only", e);
            return new Bans.Kept(Bans.End.HERE_ONLY, null);
        }
    }

    /** Whether the list is now the one of that number; not where there was one. */
    private boolean written(long number, String text) throws IOException {
        Path aside = folder.resolve(lists + "new-" + ProcessHandle.current().pid());
        Files.writeString(aside, text, StandardCharsets.UTF_8);
        try {
            Files.createLink(list(number), aside);
            return true;
        } catch (FileAlreadyExistsException e) {
            return false;
        } catch (UnsupportedOperationException e) {
            throw new IOException("no two names for one file here", e);
        } finally {
            Files.deleteIfExists(aside);
        }
    }

    /** Takes away the lists of long ago. */
    private void sweep() throws IOException {
        for (long old = last - LISTS; old > 0 && Files.deleteIfExists(list(old)); old--) {
            // Down to the first one that is gone already.
        }
    }

    private void tell(String what, Exception e) {
        if (told.add(what)) {
            log.accept(what + ": " + e.getMessage());
        }
    }
}
