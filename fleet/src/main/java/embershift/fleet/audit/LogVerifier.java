package embershift.fleet.audit;

import java.util.ArrayList;
import java.util.List;

/**
 * Finds inconsistencies in an audit log: broken chains, missing or repeated entries, timestamps
 * that decrease.
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
        AuditCheckpoint previous = log.checkpoint();
        for (AuditSegment segment : log.segments()) {
            verifier.verifyNumbers(previous.entryNumber() + 1, segment);
            verifier.verifyChain(previous, segment);
            verifier.verifyEntries(previous.at(), segment);
            previous = previous.advancedPast(segment);
        }
        return verifier.problems;
    }

    private void verifyNumbers(long expected, AuditSegment segment) {
        long first = segment.firstNumber();
        if (first > expected) {
            problems.add(location + "entries " + expected + " to " + (first - 1) + " are missing");
        } else if (first < expected) {
            problems.add(
                    location + "entries " + first + " to " + (expected - 1) + " are stored twice");
        }
    }

    private void verifyChain(AuditCheckpoint previous, AuditSegment segment) {
        if (segment.number() != previous.segmentNumber() + 1) {
            problems.add(location + "segments before " + segment.number() + " are missing");
        } else if (!segment.previousDigest().equals(previous.digest())) {
            problems.add(
                    location
                            + "segment "
                            + segment.number()
                            + " does not carry the digest of the previous one");
        }
    }

    private void verifyEntries(HybridLogicalClock previous, AuditSegment segment) {
        HybridLogicalClock previousTime = previous;
        long expectedNumber = segment.firstNumber();
        for (AuditEntry entry : segment.entries()) {
            if (entry.at().compareTo(previousTime) <= 0) {
                problems.add(
                        location
                                + "entry "
                                + entry.number()
                                + " is not later than the previous one");
            }
            if (entry.number() != expectedNumber) {
                problems.add(location + "entry " + entry.number() + " is out of sequence");
            }
            expectedNumber++;
            previousTime = entry.at();
        }
    }
}
