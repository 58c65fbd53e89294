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
        end(hasEnded ? Optional.of(last) : Optional.empty(), last);
    }

    private void read(AuditEntry entry) {
        boolean begins = entry.kind().beginsRevision();
        boolean isCount = entry.kind() == AuditEntry.Kind.TUNNELS;
        boolean namesRevision =
                begins || (isCount && entry.fields().containsKey(AuditEntry.REVISION));
        long revisionNow = namesRevision ? entry.numberOf(AuditEntry.REVISION) : revision;
        if (revisionNow != revision) {
            end(Optional.of(entry.at()), entry.at());
            // If only a count tells of it, the entry at which it began is missing.
            isComplete = begins;
            revision = revisionNow;
            from = entry.at();
            opened = 0;
            declined = 0;
            failed = 0;
        }
        if (isCount) {
            opened += entry.numberOf("opened");
            declined += entry.numberOf("declined");
            failed += entry.numberOf("failed");
        }
    }

    private void end(Optional<HybridLogicalClock> to, HybridLogicalClock lastKnown) {
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
