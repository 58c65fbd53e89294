package embershift.fleet.rollout;

import embershift.fleet.digest.Digest;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A complete version of the configuration that all nodes share. It is never changed, only followed
 * by the next revision.
 *
 * @param previousChain the chain digest of the previous revision, or "" for the first; through it
 *     the chain digest covers all earlier revisions
 * @param fields values by name
 */
public record ConfigRevision(long number, String previousChain, SortedMap<String, String> fields) {

    /** Prefix of a field that names a host which is manually ejected on all nodes. */
    public static final String EJECTED_PREFIX = "out/";

    /** The field with discovery's address. */
    public static final String DISCOVERY = "discovery";

    /** The field with a node's limit on sockets. */
    public static final String SOCKETS = "sockets";

    /** The field with the addresses of all nodes. */
    public static final String PEERS = "peers";

    /** The prefix of the keys of revisions in the store. */
    public static final String KEY_PREFIX = "revision/";

    /** The state before the first revision. */
    public static final ConfigRevision NONE = new ConfigRevision(0, "", new TreeMap<>());

    private static final int MAX_FIELDS = 5_000;
    private static final String MAGIC = "revision";
    private static final String VERSION = "1";
    private static final String EMPTY_DIGEST = "-";
    private static final int HEADER_FIELDS = 5;

    /** Copies the fields. */
    public ConfigRevision {
        fields = new TreeMap<>(fields);
    }

    /** Returns a digest of the fields. */
    public String contentDigest() {
        return contentDigest(fields);
    }

    /** Returns a digest of these fields. */
    public static String contentDigest(SortedMap<String, String> fields) {
        return Digest.of(fields);
    }

    /** Returns a digest of this revision and all before it. */
    public String chainDigest() {
        return number == 0 ? "" : Digest.of(previousChain, String.valueOf(number), contentDigest());
    }

    /**
     * Returns the changes that lead from the other revision to this one; empty values stand for
     * removed fields.
     */
    public SortedMap<String, Optional<String>> differenceFrom(ConfigRevision other) {
        SortedMap<String, Optional<String>> difference = new TreeMap<>();
        TreeSet<String> names = new TreeSet<>(fields.keySet());
        names.addAll(other.fields.keySet());
        for (String name : names) {
            String value = fields.get(name);
            if (value == null || !value.equals(other.fields.get(name))) {
                difference.put(name, Optional.ofNullable(value));
            }
        }
        return difference;
    }

    /** Returns the next revision, with these fields set, or removed where the value is empty. */
    public ConfigRevision next(Map<String, Optional<String>> changes) {
        return next(this, changes);
    }

    /**
     * Returns the revision after this one that starts from the fields of {@code base}, with these
     * fields set, or removed where the value is empty.
     */
    public ConfigRevision next(ConfigRevision base, Map<String, Optional<String>> changes) {
        return new ConfigRevision(number + 1, chainDigest(), withChanges(base.fields, changes));
    }

    static SortedMap<String, String> withChanges(
            SortedMap<String, String> fields, Map<String, Optional<String>> changes) {
        SortedMap<String, String> changed = new TreeMap<>(fields);
        changes.forEach(
                (name, value) ->
                        value.ifPresentOrElse(
                                newValue -> changed.put(name, newValue),
                                () -> changed.remove(name)));
        return changed;
    }

    /**
     * Returns why no node could apply this revision, or empty; the nodes validate the values of the
     * fields themselves.
     */
    public Optional<String> findError() {
        if (fields.size() > MAX_FIELDS) {
            return Optional.of("more than " + MAX_FIELDS + " fields");
        }
        for (Map.Entry<String, String> field : fields.entrySet()) {
            if (!field.getKey().matches("[a-z]+(/[^\\s=/]{1,200})?")
                    || field.getValue().matches("(?s).*[\\r\\n].*")) {
                return Optional.of(
                        field.getKey()
                                + ": a field name is lower-case letters, or letters/NAME, and a value is a single line");
            }
        }
        return Optional.empty();
    }

    /** Encodes this revision as the stored text: a header, and a line for each field. */
    public String encode() {
        StringBuilder out = new StringBuilder();
        String previous = previousChain.isEmpty() ? EMPTY_DIGEST : previousChain;
        out.append(
                String.join(
                        " ", MAGIC, VERSION, String.valueOf(number), previous, contentDigest()));
        out.append('\n');
        fields.forEach((name, value) -> out.append(name).append('=').append(value).append('\n'));
        return out.toString();
    }

    /** Decodes the stored text; empty if it is malformed or does not match its digest. */
    public static Optional<ConfigRevision> decode(String text) {
        String[] lines = text.split("\n");
        String[] header = lines[0].split(" ");
        boolean isHeaderValid =
                header.length == HEADER_FIELDS
                        && header[0].equals(MAGIC)
                        && header[1].equals(VERSION)
                        && header[2].matches("\\d{1,18}");
        if (!isHeaderValid) {
            return Optional.empty();
        }
        SortedMap<String, String> fields = new TreeMap<>();
        for (int i = 1; i < lines.length; i++) {
            int equals = lines[i].indexOf('=');
            if (equals < 1) {
                return Optional.empty();
            }
            fields.put(lines[i].substring(0, equals), lines[i].substring(equals + 1));
        }
        String previous = header[3].equals(EMPTY_DIGEST) ? "" : header[3];
        return Optional.of(new ConfigRevision(Long.parseLong(header[2]), previous, fields))
                .filter(revision -> revision.contentDigest().equals(header[4]));
    }

    /** Returns the key of a revision in the store; keys sort in the order of the numbers. */
    public static String key(long number) {
        return String.format("%s%012d", KEY_PREFIX, number);
    }
}
