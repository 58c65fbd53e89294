package embershift.protocol;

import embershift.model.HostId;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.zip.CRC32;

/**
 * The hosts out by hand as a text that one process leaves for the next: a version, a checksum and
 * the ids.
 */
public final class BanList {

    private static final String HEADER_PREFIX = "embershift-bans 1 ";

    /** Hosts that may be out at one time, and characters of their text. */
    public static final int MAX_HOSTS = 4096;

    public static final int MAX_CHARS = 1 << 20;

    private BanList() {}

    public static String format(Collection<HostId> bans) {
        String ids =
                bans.stream()
                        .map(host -> Json.quote(host.name()))
                        .collect(Collectors.joining(",", "[", "]"));
        return HEADER_PREFIX + checksum(ids) + "\n" + ids + "\n";
    }

    /** Fails where the text was cut, changed or written by another version. */
    public static Set<HostId> parse(String text) throws MalformedDataException {
        String[] lines = text.split("\n", -1);
        if (lines.length != 3 || !lines[2].isEmpty() || !lines[0].startsWith(HEADER_PREFIX)) {
            throw new MalformedDataException("no list of hosts out by hand of this version");
        }
        if (!lines[0].substring(HEADER_PREFIX.length()).equals(checksum(lines[1]))) {
            throw new MalformedDataException("the list of hosts out by hand is damaged");
        }
        Set<HostId> bans = new LinkedHashSet<>();
        if (!(Json.parse(lines[1]) instanceof List<?> ids) || ids.size() > MAX_HOSTS) {
            throw new MalformedDataException("no list of hosts out by hand");
        }
        for (Object id : ids) {
            bans.add(new HostId(String.valueOf(id)));
        }
        return bans;
    }

    private static String checksum(String text) {
        CRC32 crc = new CRC32();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return String.format(Locale.ROOT, "%08x", crc.getValue());
    }
}
