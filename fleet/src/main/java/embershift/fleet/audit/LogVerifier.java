package embershift.fleet.audit;

import java.util.ArrayList;
import java.util.List;

/**
 * Finds what does not fit in an audit log: broken chains, missing or repeated entries, times that
 * go back.
 */
final class LogVerifier {

    private final String location;
    private final List<String> problems = new ArrayList<>();

    private LogVerifier(IncarnationLog log) {
        location = log.node() + ", incarnation " + log.incarnation() + ": ";
    }

    /** Returns each problem in one line. */
    static List<String> verify(IncarnationLog log) {
        LogVerifier verifier = new LogVerifier(log);
        AuditCheckpoint before = log.checkpoint();
        for (AuditSegment segment : log.segments()) {
            verifier.verifyNumbers(before.entryNumber() + 1, segment);
            verifier.verifyChain(before, segment);
            verifier.verifyEntries(before.at(), segment);
            before = before.advancedPast(segment);
        }
        return verifier.problems;
    }

    private void verifyNumbers(long expected, AuditSegment segment) {
        long first = segment.firstNumber();
        if (first > expected) {
            problems.add(location + "entries " + expected + " to " + (first - 1) + " are missing");
        } else if (first < expected) {
            problems.add(
                    location + "entries " + first + " to " + (expected - 1) + " are told twice");
        }
    }

    private void verifyChain(AuditCheckpoint before, AuditSegment segment) {
        if (segment.number() != before.segmentNumber() + 1) {
            problems.add(location + "segments before " + segment.number() + " are missing");
        } else if (!segment.previousDigest().equals(before.digest())) {
            problems.add(
                    location + "segment " + segment.number() + " is not chained to the one before");
        }
    }

    private void verifyEntries(HybridLogicalClock before, AuditSegment segment) {
        HybridLogicalClock last = before;
        long expectedNumber = segment.firstNumber();
        for (AuditEntry entry : segment.entries()) {
            if (entry.at().compareTo(last) <= 0) {
                problems.add(
                        location + "entry " + entry.number() + " is earlier than the one before");
            }
            if (entry.number() != expectedNumber) {
                problems.add(location + "entry " + entry.number() + " is not where it belongs");
            }
            expectedNumber++;
            last = entry.at();
        }
    }
}
