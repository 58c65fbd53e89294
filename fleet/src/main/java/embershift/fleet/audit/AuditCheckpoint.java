package embershift.fleet.audit;

import java.util.Optional;

/**
 * Where the audit log of an incarnation begins, once its oldest segments are deleted: what the last
 * deleted one ended with.
 *
 * @param segmentNumber of the last deleted segment
 * @param entryNumber of its last entry
 * @param digest of that segment
 * @param revision the config revision in force then, or {@link #NO_REVISION}
 */
public record AuditCheckpoint(
        long segmentNumber, long entryNumber, String digest, long revision, HybridLogicalClock at) {

    /** In place of a config revision: none is known. */
    public static final long NO_REVISION = -1;

    /** The prefix of all keys of checkpoints in the store. */
    public static final String KEY_PREFIX = "folded/";

    /** Before the first segment. */
    static final AuditCheckpoint INITIAL =
            new AuditCheckpoint(0, 0, "", NO_REVISION, HybridLogicalClock.START);

    private static final int FIELD_COUNT = 5;

    /** Returns the key of the checkpoint for the log that a segment's key belongs to. */
    static String keyFor(String segmentKey) {
        return KEY_PREFIX
                + segmentKey.substring(
                        AuditSegment.KEY_PREFIX.length(), segmentKey.lastIndexOf('/'));
    }

    /** Returns the checkpoint once that segment is deleted too. */
    AuditCheckpoint advancedPast(AuditSegment segment) {
        long latestRevision = revision;
        HybridLogicalClock latest = at;
        for (AuditEntry entry : segment.entries()) {
            if (entry.kind().startsRevisionPeriod() || entry.kind() == AuditEntry.Kind.TUNNELS) {
                latestRevision = entry.longField(AuditEntry.REVISION);
            }
            latest = entry.at();
        }
        return new AuditCheckpoint(
                segment.number(), segment.lastNumber(), segment.digest(), latestRevision, latest);
    }

    /** Encodes this as the stored text. */
    public String encode() {
        return segmentNumber + " " + entryNumber + " " + digest + " " + revision + " " + at;
    }

    /** Decodes the stored text; empty if it is none. */
    public static Optional<AuditCheckpoint> decode(String text) {
        String[] fields = text.split(" ");
        boolean isValid =
                fields.length == FIELD_COUNT
                        && fields[0].matches("\\d{1,18}")
                        && fields[1].matches("\\d{1,18}")
                        && fields[3].matches("-?\\d{1,18}");
        if (!isValid) {
            return Optional.empty();
        }
        return HybridLogicalClock.decode(fields[4])
                .map(
                        at ->
                                new AuditCheckpoint(
                                        Long.parseLong(fields[0]),
                                        Long.parseLong(fields[1]),
                                        fields[2],
                                        Long.parseLong(fields[3]),
                                        at));
    }
}
