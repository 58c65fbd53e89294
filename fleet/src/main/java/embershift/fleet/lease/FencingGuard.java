package embershift.fleet.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What a receiver of orders checks fencing tokens by: for each task the highest token it knows,
 * below which it admits nothing. A receiver that was just started has forgotten them: it admits no
 * order of a task before it has read the latest token from the store, by a read that began after
 * this guard was made. Every token admitted here before was granted before that.
 */
public final class FencingGuard {

    /** What is said of a token. */
    public enum Verdict {
        /** It is the highest known. */
        ADMITTED,
        /** A later grant is known. */
        STALE,
        /** Nothing is known of the task yet. */
        UNKNOWN
    }

    /** The most tasks that are remembered; orders of further ones are never admitted. */
    public static final int MAX_TASKS = 256;

    private final Map<TaskId, FencingToken> highestByTask = new HashMap<>();

    /**
     * Learns a task's latest token from the store: {@link FencingToken#NONE} if there was no grant.
     */
    public void learnLatest(TaskId task, FencingToken latest) {
        if (highestByTask.size() < MAX_TASKS || highestByTask.containsKey(task)) {
            highestByTask.merge(task, latest, FencingGuard::max);
        }
    }

    private static FencingToken max(FencingToken first, FencingToken second) {
        return first.compareTo(second) >= 0 ? first : second;
    }

    /** Checks the token of an order; once one is admitted, no lower one is. */
    public Verdict admit(TaskId task, FencingToken token) {
        FencingToken known = highestByTask.get(task);
        if (known == null) {
            return Verdict.UNKNOWN;
        }
        if (token.compareTo(known) < 0) {
            return Verdict.STALE;
        }
        highestByTask.put(task, token);
        return Verdict.ADMITTED;
    }

    /** Returns the highest token known of a task; empty before one was learned. */
    public Optional<FencingToken> highestKnown(TaskId task) {
        return Optional.ofNullable(highestByTask.get(task));
    }
}
