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
 * The list of hosts ejected by operators, in the text form in which one process leaves it to the
 * next: a version, a checksum and the host ids.
 */
public final class EjectionList {

    private static final String HEADER_PREFIX = "embershift-bans 1 ";

    /** Maximum number of hosts that may be ejected at one time. */
    public static final int MAX_HOSTS = 4096;

    /** Maximum length of the text, in characters. */
    public static final int MAX_CHARS = 1 << 20;

    private EjectionList() {}

    /** Formats the hosts as {@link #parse} accepts them. */
    public static String format(Collection<HostId> hosts) {
        String ids =
                hosts.stream()
                        .map(host -> Json.quote(host.name()))
                        .collect(Collectors.joining(",", "[", "]"));
        return HEADER_PREFIX + checksum(ids) + "\n" + ids + "\n";
    }

    /** Fails if the text is truncated, altered or written by another version. */
    public static Set<HostId> parse(String text) throws MalformedDataException {
        String[] lines = text.split("\n", -1);
        if (lines.length != 3 || !lines[2].isEmpty() || !lines[0].startsWith(HEADER_PREFIX)) {
            throw new MalformedDataException("not a list of ejected hosts of this version");
        }
        if (!lines[0].substring(HEADER_PREFIX.length()).equals(checksum(lines[1]))) {
            throw new MalformedDataException("the list of ejected hosts is damaged");
        }
        Set<HostId> hosts = new LinkedHashSet<>();
        if (!(Json.parse(lines[1]) instanceof List<?> ids) || ids.size() > MAX_HOSTS) {
            throw new MalformedDataException(
                    "not a list of at most " + MAX_HOSTS + " ejected hosts");
        }
        for (Object id : ids) {
            hosts.add(new HostId(String.valueOf(id)));
        }
        return hosts;
    }

    private static String checksum(String text) {
        CRC32 crc = new CRC32();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return String.format(Locale.ROOT, "%08x", crc.getValue());
    }
}
