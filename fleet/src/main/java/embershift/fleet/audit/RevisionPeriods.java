package embershift.fleet.audit;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Reads an audit log from its beginning, and divides it into the periods of config revisions. */
final class RevisionPeriods {

    private final IncarnationLog log;
    private final List<RevisionPeriod> periods = new ArrayList<>();
    private long revision;
    private HybridLogicalClock from;
    private boolean isComplete = true;
    private long opened;
    private long declined;
    private long failed;

    private RevisionPeriods(IncarnationLog log) {
        this.log = log;
        revision = log.checkpoint().revision();
        from = log.checkpoint().at();
    }

    static List<RevisionPeriod> of(IncarnationLog log) {
        RevisionPeriods reader = new RevisionPeriods(log);
        reader.read();
        return reader.periods;
    }

    private void read() {
        long number = log.checkpoint().entryNumber();
        HybridLogicalClock last = from;
        boolean hasEnded = false;
        for (AuditSegment segment : log.segments()) {
            for (AuditEntry entry : segment.entries()) {
                if (entry.number() != number + 1) {
                    isComplete = false;
                }
                number = entry.number();
                read(entry);
                hasEnded = entry.kind() == AuditEntry.Kind.ENDS;
                last = entry.at();
            }
        }
        endPeriod(hasEnded ? Optional.of(last) : Optional.empty(), last);
    }

    private void read(AuditEntry entry) {
        boolean startsPeriod = entry.kind().startsRevisionPeriod();
        boolean isCount = entry.kind() == AuditEntry.Kind.TUNNELS;
        boolean namesRevision =
                startsPeriod || (isCount && entry.fields().containsKey(AuditEntry.REVISION));
        long entryRevision = namesRevision ? entry.longField(AuditEntry.REVISION) : revision;
        if (entryRevision != revision) {
            endPeriod(Optional.of(entry.at()), entry.at());
            // If only a count tells of it, the entry at which it began is missing.
            isComplete = startsPeriod;
            revision = entryRevision;
            from = entry.at();
            opened = 0;
            declined = 0;
            failed = 0;
        }
        if (isCount) {
            opened += entry.longField("opened");
            declined += entry.longField("declined");
            failed += entry.longField("failed");
        }
    }

    private void endPeriod(Optional<HybridLogicalClock> to, HybridLogicalClock lastKnown) {
        if (revision != AuditCheckpoint.NO_REVISION) {
            periods.add(
                    new RevisionPeriod(
                            log.node(),
                            log.incarnation(),
                            revision,
                            from,
                            to,
                            lastKnown,
                            isComplete,
                            opened,
                            declined,
                            failed));
        }
    }
}
