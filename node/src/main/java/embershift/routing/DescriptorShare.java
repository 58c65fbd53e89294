package embershift.routing;

/**
 * Shares one limit on descriptors among the processes at one address, which learn of each other's
 * use with a delay. Each keeps what it holds and may grow to an even part of the limit, and beyond
 * that only into what the others leave free. So two processes that fill up at the same time stay
 * below the limit together, once each knows of the other.
 */
final class DescriptorShare {

    private int share = Integer.MAX_VALUE;

    /**
     * Takes the number of other processes, and the number of descriptors that they together hold or
     * may still take, while this one holds {@code held}. Returns whether that changes this
     * process's share.
     */
    boolean update(int limit, int held, int others, int processes) {
        int evenPart = limit / (processes + 1);
        int next =
                processes == 0
                        ? Integer.MAX_VALUE
                        : others < evenPart * processes
                                ? limit - others
                                : Math.min(limit - others, Math.max(held, evenPart));
        boolean changed = next != share;
        share = next;
        return changed;
    }

    /** Number of descriptors that this process may hold. */
    int allowed(int limit) {
        return Math.min(limit, share);
    }

    /**
     * Number of descriptors that this process announces to the others as held or still to be taken.
     * One that leaves may still take {@code spare}; one that is alone leaves half of the limit to a
     * process that may start, and keeps to that once it has learned of it.
     */
    int claimed(int limit, int held, boolean leaving, int spare) {
        return leaving
                ? held + spare
                : Math.max(held, share == Integer.MAX_VALUE ? limit / 2 : share);
    }
}
