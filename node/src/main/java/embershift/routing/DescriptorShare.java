package embershift.routing;

/**
 * How the processes at one address share one limit on descriptors, hearing of each other a moment
 * late. Each keeps what it holds and may grow to an even part, and beyond that only into what the
 * others have left: so two that fill up at once stay below the limit together, once both know that
 * they are two.
 */
final class DescriptorShare {

    private int share = Integer.MAX_VALUE;

    /**
     * The others, so many, have told that they hold or may yet take so many descriptors; this one
     * holds {@code held}. Returns whether that changes its share.
     */
    boolean update(int limit, int held, int others, int processes) {
        int part = limit / (processes + 1);
        int next =
                processes == 0
                        ? Integer.MAX_VALUE
                        : others < part * processes
                                ? limit - others
                                : Math.min(limit - others, Math.max(held, part));
        boolean changed = next != share;
        share = next;
        return changed;
    }

    /** Descriptors that this process may hold. */
    int allowed(int limit) {
        return Math.min(limit, share);
    }

    /**
     * What this process tells the others that it holds or may yet take: one that leaves takes
     * {@code few}; one that is alone leaves half to who comes, and keeps to that once it has heard
     * of it.
     */
    int claimed(int limit, int held, boolean leaving, int few) {
        return leaving
                ? held + few
                : Math.max(held, share == Integer.MAX_VALUE ? limit / 2 : share);
    }
}
