package embershift.program;

import embershift.model.HostId;
import embershift.operations.HostEjections;
import embershift.protocol.EjectionList;
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
 * The processes that serve at one address, which see each other through a shared folder. Each holds
 * a lock on one byte (its slot) of a lock file from the moment it is ready until it shuts down; the
 * system frees the lock however the process dies. In the lock file each process also writes how
 * many descriptors it holds. The folder also has the hosts ejected by operators, with a new list
 * for every change. No process waits for another one here, as that one may be stopped. Each kind of
 * failure to read or write is logged once, and the node goes on without. All methods may block on a
 * disk.
 */
final class SiblingProcesses implements HostEjections.Store {

    /** Number of slots: how many processes at one address can tell each other apart. */
    private static final int MAX_PROCESSES = 8;

    /** Offset in the lock file of the processes' statuses, one a slot. */
    private static final int STATUS_OFFSET = 16;

    /** Offset in the lock file of the hashes of the deployments that own the slots. */
    private static final int OWNER_OFFSET =
            STATUS_OFFSET + MAX_PROCESSES * ProcessStatus.SIZE_BYTES;

    /** Lists of ejected hosts that are kept in the folder at a time. */
    private static final int RETAINED_LISTS = 16;

    /** Times that a change or a read is attempted while other processes write. */
    private static final int MAX_ATTEMPTS = 64;

    private final Path folder;

    /** The start of the lists' file names, which their numbers follow. */
    private final String listPrefix;

    private final FileChannel lockFile;

    /**
     * Identifies the deployment that this process belongs to; files and slots of other deployments
     * are ignored.
     */
    private final int deploymentHash;

    private final Consumer<String> log;
    private final Set<String> loggedProblems = new LinkedHashSet<>();
    private FileLock ownLock;

    /**
     * The number of the latest list seen, or 0. If that list has disappeared since, this does not
     * mean that no host is ejected.
     */
    private long latestNumber;

    private SiblingProcesses(Path folder, String address, String deployment, Consumer<String> log)
            throws IOException {
        this.log = log;
        this.folder = folder;
        deploymentHash = deploymentHash(deployment);
        listPrefix = listPrefix(address, deployment);
        // Stays open: closing any channel to the file, even a second one, would release all locks
        // that this process holds on it.
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

    /** The start of the file names of the lists that a deployment's node at this address writes. */
    static String listPrefix(String address, String deployment) {
        return fileNamePrefix(address, deployment) + ".bans.";
    }

    /** The start of the names of all files of a deployment's node at this address. */
    static String fileNamePrefix(String address, String deployment) {
        return fileNamePrefix(address) + "." + Integer.toHexString(deploymentHash(deployment));
    }

    /**
     * Opens the lock file in the shared folder.
     *
     * @param folder null or empty where there is no shared folder
     * @param deployment the deployment's id, as {@code NodeConfiguration.deploymentIdentity}
     *     returns it
     * @return null where there is no shared folder or it can't be used, which is then logged
     */
    static SiblingProcesses open(
            String folder, String address, String deployment, Consumer<String> log) {
        if (folder == null || folder.isEmpty()) {
            return null;
        }
        try {
            return new SiblingProcesses(Path.of(folder), address, deployment, log);
        } catch (IOException | RuntimeException e) {
            log.accept("ejections of hosts will not outlast this process: " + e);
            return null;
        }
    }

    /** Claims a slot, by which the other processes see from now on that this one serves. */
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
            logOnce("other processes can't see that this one serves", e);
        }
    }

    private static long ownerOffset(int slot) {
        return OWNER_OFFSET + (long) slot * Integer.BYTES;
    }

    /**
     * Whether the process in this slot belongs to this deployment; one that has not written its
     * deployment is assumed to.
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
     * Whether a process of another deployment serves at this address: the system would distribute
     * the clients of either among both.
     */
    synchronized boolean hasOtherDeployment() {
        boolean found = false;
        try {
            for (int slot = 0; slot < MAX_PROCESSES; slot++) {
                found |= !isOwnSlot(slot) && isHeldByOther(slot) && !isOwnDeployment(slot);
            }
        } catch (IOException e) {
            logOnce("can't see which other processes serve at this address", e);
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
            logOnce("can't release the lock", e);
        }
    }

    /**
     * Returns the lock on a slot, or null while another process, or another node in this process,
     * holds it.
     *
     * @param shared to check a slot only: a process that is stopped during the check must not look
     *     to the others like one that serves
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

    /** Whether another process, or another node in this process, holds the slot. */
    private boolean isHeldByOther(int slot) throws IOException {
        FileLock lock = tryLock(slot, true);
        if (lock != null) {
            lock.release();
        }
        return lock == null;
    }

    /**
     * What a process tells the others.
     *
     * @param descriptors how many it holds or may yet take
     * @param tunnelsPerWarmHost how many tunnels fill a host, as far as it has learned
     */
    record ProcessStatus(int descriptors, double tunnelsPerWarmHost) {
        static final int SIZE_BYTES = Integer.BYTES + Double.BYTES;
    }

    /** Publishes this process's status; returns the statuses of the others that serve here. */
    synchronized List<ProcessStatus> exchange(ProcessStatus own) {
        List<ProcessStatus> others = new ArrayList<>();
        try {
            for (int slot = 0; slot < MAX_PROCESSES; slot++) {
                ByteBuffer buffer = ByteBuffer.allocate(ProcessStatus.SIZE_BYTES);
                long offset = STATUS_OFFSET + (long) slot * ProcessStatus.SIZE_BYTES;
                if (isOwnSlot(slot)) {
                    lockFile.write(
                            buffer.putInt(own.descriptors).putDouble(own.tunnelsPerWarmHost).flip(),
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
            logOnce("can't see which other processes serve at this address", e);
        }
        return others;
    }

    /**
     * Releases the slot at the end of this process; returns whether another process serves here.
     */
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

    /** The latest list and its number; 0 and no hosts where there has been no list yet. */
    private record NumberedList(long number, Collection<HostId> hosts) {}

    /**
     * Reads the latest list; returns null where that is not possible. Sets {@link #latestNumber} to
     * the number of the latest list found in either case.
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
                    if (Files.size(file) > EjectionList.MAX_CHARS) {
                        throw new MalformedDataException(
                                "longer than " + EjectionList.MAX_CHARS + " bytes");
                    }
                    return new NumberedList(
                            latestNumber,
                            EjectionList.parse(Files.readString(file, StandardCharsets.UTF_8)));
                } catch (NoSuchFileException e) {
                    // Other processes have written so many lists meanwhile that this one was
                    // deleted, or all lists are gone.
                    if (previousNumber == latestNumber) {
                        throw new MalformedDataException("the latest list no longer exists");
                    }
                }
            }
            throw new MalformedDataException(
                    "other processes write lists faster than this one reads them");
        } catch (IOException | DirectoryIteratorException | MalformedDataException e) {
            logOnce("can't read the ejected hosts from " + folder.resolve(listPrefix), e);
            return null;
        }
    }

    private Path listFile(long number) {
        return folder.resolve(listPrefix + number);
    }

    /**
     * Finds the latest list: number by number from the latest one known, or by listing the folder
     * where that one does not exist.
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

    /** The number of a list by its file name; 0 for a file that is no list. */
    private long listNumber(Path file) {
        String number = file.getFileName().toString().substring(listPrefix.length());
        return number.matches("[1-9]\\d{0,17}") ? Long.parseLong(number) : 0;
    }

    /**
     * Writes each change as a new list under the next number. Only one process can create a file of
     * a given name, so no process holds a lock that others wait for, and a process that was stopped
     * in the middle of a change finds its number taken when it continues. A call that changes
     * nothing takes a number too: otherwise an earlier change by a process that was stopped could
     * still overwrite it.
     */
    @Override
    public synchronized HostEjections.StoreResult change(
            HostId host, boolean eject, Collection<HostId> known, BooleanSupplier inTime) {
        try {
            for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
                NumberedList latest = readLatest();
                Set<HostId> ejected = new LinkedHashSet<>(latest == null ? known : latest.hosts);
                if (eject) {
                    ejected.add(host);
                } else {
                    ejected.remove(host);
                }
                if (ejected.size() > EjectionList.MAX_HOSTS) {
                    throw new IOException("more than " + EjectionList.MAX_HOSTS + " hosts");
                }
                long next = latestNumber + 1;
                if (publish(next, EjectionList.format(ejected))) {
                    if (!inTime.getAsBoolean()) {
                        // Stopped for so long that its number may have been taken, deleted and
                        // taken again.
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
            throw new IOException("other processes change the list all the time");
        } catch (IOException | DirectoryIteratorException e) {
            logOnce("an ejection of a host is in effect in this process only", e);
            return new HostEjections.StoreResult(HostEjections.Outcome.HERE_ONLY, null);
        }
    }

    /** Creates the list of that number; returns false where it exists already. */
    private boolean publish(long number, String text) throws IOException {
        Path temporary = folder.resolve(listPrefix + "new-" + ProcessHandle.current().pid());
        Files.writeString(temporary, text, StandardCharsets.UTF_8);
        try {
            Files.createLink(listFile(number), temporary);
            return true;
        } catch (FileAlreadyExistsException e) {
            return false;
        } catch (UnsupportedOperationException e) {
            throw new IOException("the file system does not support hard links", e);
        } finally {
            Files.deleteIfExists(temporary);
        }
    }

    /** Deletes all lists but the latest {@link #RETAINED_LISTS}. */
    private void deleteOldLists() throws IOException {
        for (long number = latestNumber - RETAINED_LISTS;
                number > 0 && Files.deleteIfExists(listFile(number));
                number--) {
            // Down to the first one that has been deleted already.
        }
    }

    private void logOnce(String problem, Exception cause) {
        if (loggedProblems.add(problem)) {
            log.accept(problem + ": " + cause.getMessage());
        }
    }
}
