package embershift.program;

import embershift.model.HostId;
import embershift.operations.HostEjections;
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
final class SiblingProcesses implements HostEjections.Store {

    /** Processes that can tell each other apart at one address. */
    private static final int MAX_PROCESSES = 8;

    /** Where in the lock file the descriptors stand. */
    private static final int STATUS_OFFSET = 16;

    /** Where it stands whose each slot is. */
    private static final int OWNER_OFFSET =
            STATUS_OFFSET + MAX_PROCESSES * ProcessStatus.SIZE_BYTES;

    /**
     * Lists of bans that lie there at a time; times that a change, or a reading, is tried while
     * others write.
     */
    private static final int RETAINED_LISTS = 16;

    private static final int MAX_ATTEMPTS = 64;

    private final Path folder;

    /** How the lists' names begin; their numbers follow. */
    private final String listPrefix;

    private final FileChannel lockFile;

    /**
     * What tells the deployment that this process belongs to; what another one's left here concerns
     * nobody else.
     */
    private final int deploymentHash;

    private final Consumer<String> log;
    private final Set<String> loggedProblems = new LinkedHashSet<>();
    private FileLock ownLock;

    /**
     * The number of the last list seen, or 0: that it is gone since then does not say that none
     * hold.
     */
    private long latestNumber;

    private SiblingProcesses(Path folder, String address, String deployment, Consumer<String> log)
            throws IOException {
        this.log = log;
        this.folder = folder;
        deploymentHash = deploymentHash(deployment);
        listPrefix = listPrefix(address, deployment);
        // Kept open: closed, even a second channel to it would give all locks of this process up.
        lockFile =
                FileChannel.open(
                        folder.resolve(fileNamePrefix(address) + ".lock"),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE);
    }

    private static String fileNamePrefix(String address) {
        return "embershift-" + address.replaceAll("[^0-9A-Za-z.]", "-");
    }

    private static int deploymentHash(String deployment) {
        CRC32 crc = new CRC32();
        crc.update(deployment.getBytes(StandardCharsets.UTF_8));
        return (int) crc.getValue() == 0 ? 1 : (int) crc.getValue();
    }

    /** How the names of the lists of bans begin of a deployment's node at that address. */
    static String listPrefix(String address, String deployment) {
        return fileNamePrefix(address)
                + "."
                + Integer.toHexString(deploymentHash(deployment))
                + ".bans.";
    }

    /**
     * Null where there is no folder in common, or none that can be used, which the log then says.
     * {@code belongsTo}: as {@code NodeConfiguration.belongsTo} has it.
     */
    static SiblingProcesses open(
            String folder, String address, String deployment, Consumer<String> log) {
        if (folder == null || folder.isEmpty()) {
            return null;
        }
        try {
            return new SiblingProcesses(Path.of(folder), address, deployment, log);
        } catch (IOException | RuntimeException e) {
            log.accept("bans by hand will not outlast this process: " + e);
            return null;
        }
    }

    /** From now on the others see that this process serves. */
    synchronized void claimSlot() {
        try {
            for (int slot = 0; ownLock == null && slot < MAX_PROCESSES; slot++) {
                ownLock = tryLock(slot, false);
                if (ownLock != null) {
                    lockFile.write(
                            ByteBuffer.allocate(Integer.BYTES).putInt(deploymentHash).flip(),
                            ownerOffset(slot));
                }
            }
        } catch (IOException e) {
            logOnce("the others can't see that this process serves", e);
        }
    }

    private static long ownerOffset(int slot) {
        return OWNER_OFFSET + (long) slot * Integer.BYTES;
    }

    /**
     * Whether a process of this deployment holds that slot; one that does not tell is taken for
     * one.
     */
    private boolean isOwnDeployment(int slot) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(Integer.BYTES);
        int ownerHash =
                lockFile.read(buffer, ownerOffset(slot)) == Integer.BYTES
                        ? buffer.flip().getInt()
                        : 0;
        return ownerHash == 0 || ownerHash == deploymentHash;
    }

    /**
     * Whether a process of another deployment serves at this address: the system would deal its
     * clients out to both.
     */
    synchronized boolean hasOtherDeployment() {
        boolean found = false;
        try {
            for (int slot = 0; slot < MAX_PROCESSES; slot++) {
                found |= !isOwnSlot(slot) && isHeldByOther(slot) && !isOwnDeployment(slot);
            }
        } catch (IOException e) {
            logOnce("who else serves here can't be seen", e);
        }
        return found;
    }

    private void releaseLock() {
        try {
            if (ownLock != null) {
                ownLock.release();
                ownLock = null;
            }
        } catch (IOException e) {
            logOnce("the lock can't be given up", e);
        }
    }

    /**
     * The lock on a slot, or null while another process, or another node in this one, holds it.
     * {@code shared}: only to look; one that is stopped while it looks must not be taken by the
     * others for one that serves.
     */
    private FileLock tryLock(int slot, boolean shared) throws IOException {
        try {
            return lockFile.tryLock(slot, 1, shared);
        } catch (OverlappingFileLockException e) {
            return null;
        }
    }

    private boolean isOwnSlot(int slot) {
        return ownLock != null && ownLock.position() == slot;
    }

    /** Whether another than this one holds the slot. */
    private boolean isHeldByOther(int slot) throws IOException {
        FileLock lock = tryLock(slot, true);
        if (lock != null) {
            lock.release();
        }
        return lock == null;
    }

    /**
     * What a process tells the others: the descriptors that it holds or may yet take, and how many
     * tunnels fill a host.
     */
    record ProcessStatus(int descriptors, double tunnelsToFillHost) {
        static final int SIZE_BYTES = Integer.BYTES + Double.BYTES;
    }

    /** Tells the others this; returns what those that serve here have told. */
    synchronized List<ProcessStatus> exchange(ProcessStatus own) {
        List<ProcessStatus> others = new ArrayList<>();
        try {
            for (int slot = 0; slot < MAX_PROCESSES; slot++) {
                ByteBuffer buffer = ByteBuffer.allocate(ProcessStatus.SIZE_BYTES);
                long offset = STATUS_OFFSET + (long) slot * ProcessStatus.SIZE_BYTES;
                if (isOwnSlot(slot)) {
                    lockFile.write(
                            buffer.putInt(own.descriptors).putDouble(own.tunnelsToFillHost).flip(),
                            offset);
                    continue;
                }
                if (isHeldByOther(slot) && isOwnDeployment(slot)) {
                    boolean isComplete = lockFile.read(buffer, offset) == ProcessStatus.SIZE_BYTES;
                    buffer.flip();
                    others.add(
                            isComplete
                                    ? new ProcessStatus(
                                            Math.max(0, buffer.getInt()), buffer.getDouble())
                                    : new ProcessStatus(0, 0));
                }
            }
        } catch (IOException e) {
            logOnce("who else serves here can't be seen", e);
        }
        return others;
    }

    /** At the end: gives the slot up; whether another serves here. */
    synchronized boolean releaseSlot() {
        List<ProcessStatus> others = exchange(new ProcessStatus(0, 0));
        releaseLock();
        return !others.isEmpty();
    }

    @Override
    public synchronized Collection<HostId> read() {
        NumberedList latest = readLatest();
        return latest == null ? null : latest.hosts;
    }

    /**
     * The last list that was written, and its number; 0 and none where there has been no list yet.
     */
    private record NumberedList(long number, Collection<HostId> hosts) {}

    /**
     * Null where it can't be told; the number of the last list that was seen stands in {@code last}
     * all the same.
     */
    private NumberedList readLatest() {
        try {
            for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
                long previousNumber = latestNumber;
                findLatest();
                if (latestNumber == 0) {
                    return new NumberedList(0, List.of());
                }
                Path file = listFile(latestNumber);
                try {
                    if (Files.size(file) > BanList.MAX_CHARS) {
                        throw new MalformedDataException("over " + BanList.MAX_CHARS + " bytes");
                    }
                    return new NumberedList(
                            latestNumber,
                            BanList.parse(Files.readString(file, StandardCharsets.UTF_8)));
                } catch (NoSuchFileException e) {
                    // Others wrote so many meanwhile that this one was swept away; or all lists are
                    // gone.
                    if (previousNumber == latestNumber) {
                        throw new MalformedDataException("it is gone");
                    }
                }
            }
            throw new MalformedDataException("others write faster than this process reads");
        } catch (IOException | DirectoryIteratorException | MalformedDataException e) {
            logOnce("hosts out by hand can't be read from " + folder.resolve(listPrefix), e);
            return null;
        }
    }

    private Path listFile(long number) {
        return folder.resolve(listPrefix + number);
    }

    /**
     * Finds the last list: one at a time from the last one known, or all of them where that one is
     * not there.
     */
    private void findLatest() throws IOException {
        if (latestNumber == 0 || !Files.exists(listFile(latestNumber))) {
            try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, listPrefix + "*")) {
                for (Path file : files) {
                    latestNumber = Math.max(latestNumber, listNumber(file));
                }
            }
        }
        while (Files.exists(listFile(latestNumber + 1))) {
            latestNumber++;
        }
    }

    /** 0 for what is no list. */
    private long listNumber(Path file) {
        String number = file.getFileName().toString().substring(listPrefix.length());
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
    public synchronized HostEjections.StoreResult change(
            HostId host, boolean out, Collection<HostId> known, BooleanSupplier inTime) {
        try {
            for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
                NumberedList latest = readLatest();
                Set<HostId> ejected = new LinkedHashSet<>(latest == null ? known : latest.hosts);
                if (out) {
                    ejected.add(host);
                } else {
                    ejected.remove(host);
                }
                if (ejected.size() > BanList.MAX_HOSTS) {
                    throw new IOException("over " + BanList.MAX_HOSTS + " hosts");
                }
                long next = latestNumber + 1;
                if (publish(next, BanList.format(ejected))) {
                    if (!inTime.getAsBoolean()) {
                        // Stopped so long that its number may have been given, swept away and given
                        // again.
                        return new HostEjections.StoreResult(
                                HostEjections.Outcome.TOO_LATE, read());
                    }
                    latestNumber = next;
                    deleteOldLists();
                    return new HostEjections.StoreResult(HostEjections.Outcome.KEPT, ejected);
                }
                if (!inTime.getAsBoolean()) {
                    return new HostEjections.StoreResult(HostEjections.Outcome.TOO_LATE, read());
                }
            }
            throw new IOException("others change them all the time");
        } catch (IOException | DirectoryIteratorException e) {
            logOnce("a host out by hand is known to this process only", e);
            return new HostEjections.StoreResult(HostEjections.Outcome.HERE_ONLY, null);
        }
    }

    /** Whether the list is now the one of that number; not where there was one. */
    private boolean publish(long number, String text) throws IOException {
        Path temporary = folder.resolve(listPrefix + "new-" + ProcessHandle.current().pid());
        Files.writeString(temporary, text, StandardCharsets.UTF_8);
        try {
            Files.createLink(listFile(number), temporary);
            return true;
        } catch (FileAlreadyExistsException e) {
            return false;
        } catch (UnsupportedOperationException e) {
            throw new IOException("no two names for one file here", e);
        } finally {
            Files.deleteIfExists(temporary);
        }
    }

    /** Takes away the lists of long ago. */
    private void deleteOldLists() throws IOException {
        for (long number = latestNumber - RETAINED_LISTS;
                number > 0 && Files.deleteIfExists(listFile(number));
                number--) {
            // Down to the first one that is gone already.
        }
    }

    private void logOnce(String problem, Exception e) {
        if (loggedProblems.add(problem)) {
            log.accept(problem + ": " + e.getMessage());
        }
    }
}
