package embershift.storage;

import java.io.IOException;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeSet;

/**
 * The last of a row of snapshots, each under a number that only grows; a new one takes the place of
 * all before it.
 */
public final class Snapshots {

    private static final String NAME = "snapshot-";
    private static final String FORM = NAME + "%016d";

    private final Disk disk;

    public Snapshots(Disk disk) {
        this.disk = disk;
    }

    private NavigableSet<String> names() throws IOException {
        TreeSet<String> names = new TreeSet<>();
        for (String name : disk.names()) {
            if (name.matches(NAME + "\\d{16}")) {
                names.add(name);
            }
        }
        return names;
    }

    /**
     * The content of the last one, or null where there is none. An older one is no substitute: the
     * log begins later.
     */
    public byte[] latest() throws IOException {
        NavigableSet<String> names = names();
        return names.isEmpty() ? null : Sealed.read(disk, names.last());
    }

    /** On disk when this returns; then the ones before are taken away. */
    public void write(long number, byte[] content) throws IOException {
        Sealed.write(disk, String.format(FORM, number), content);
        Set<String> old = names().headSet(String.format(FORM, number), false);
        disk.delete(old);
    }
}
