package embershift.storage;

import java.io.IOException;
import java.util.NavigableSet;
import java.util.TreeSet;

/**
 * Names of files that differ by a number: a prefix and sixteen digits, so that their order as texts
 * is that of their numbers.
 */
record NumberedFileName(String prefix) {

    private static final String DIGITS = "\\d{16}";

    String of(long number) {
        return String.format("%s%016d", prefix, number);
    }

    long numberOf(String name) {
        return Long.parseLong(name.substring(prefix.length()));
    }

    /** Returns the names of this form on a disk, in the order of their numbers. */
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
