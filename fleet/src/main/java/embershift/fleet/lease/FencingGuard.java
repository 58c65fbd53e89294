package embershift.fleet.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Rejects orders with stale fencing tokens: keeps the highest token known for each task and admits
 * nothing below it. The tokens are kept in memory only, so a receiver that was just started admits
 * no order of a task before it has read the task's latest token from the store, by a read that
 * began after this guard was created. Every token admitted by an earlier process was granted before
 * that read.
 */
public final class FencingGuard {

    /** Result of checking a token. */
    public enum Verdict {
        /** No higher token of the task is known. */
        ADMITTED,
        /** A higher token of the task is known. */
        STALE,
        /** No token of the task is known yet. */
        UNKNOWN
    }

    /** Maximum number of tasks that are remembered; orders of further tasks are never admitted. */
    public static final int MAX_TASKS = 256;

    private final Map<TaskId, FencingToken> highestByTask = new HashMap<>();

    /**
     * Records a task's latest token as read from the store, or {@link FencingToken#NONE} if the
     * lease was never granted.
     */
    public void learnLatest(TaskId task, FencingToken latest) {
        if (highestByTask.size() < MAX_TASKS || highestByTask.containsKey(task)) {
            highestByTask.merge(task, latest, FencingGuard::max);
        }
    }

    private static FencingToken max(FencingToken first, FencingToken second) {
        return first.compareTo(second) >= 0 ? first : second;
    }

    /** Checks the token of an order. Once a token is admitted, no lower token of that task is. */
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

    /** Returns the highest known token of a task, or empty if none is known. */
    public Optional<FencingToken> highestKnown(TaskId task) {
        return Optional.ofNullable(highestByTask.get(task));
    }
}
