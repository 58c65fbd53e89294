package embershift.storage;

import java.io.IOException;
import java.util.NavigableSet;
import java.util.TreeSet;

/**
 * Numbered file names: a prefix and a number of sixteen digits, so that the names sort by number.
 */
record NumberedFileName(String prefix) {

    private static final String DIGITS = "\\d{16}";

    String of(long number) {
        return String.format("%s%016d", prefix, number);
    }

    long numberOf(String name) {
        return Long.parseLong(name.substring(prefix.length()));
    }

    /** Returns the matching file names on a disk, in the order of their numbers. */
    NavigableSet<String> listFiles(Disk disk) throws IOException {
        NavigableSet<String> names = new TreeSet<>();
        for (String name : disk.fileNames()) {
            if (name.matches(prefix + DIGITS)) {
                names.add(name);
            }
        }
        return names;
    }
}
