package embershift.operations;

/**
 * Whether this process may have stood still: stopped, or kept from the processor. What it reads
 * after that may have waited so long that its sender has given up and has had the contrary done
 * elsewhere. Fed with the time; decides only.
 */
final class Stillness {

    /** Seconds within which operators are owed an answer; who has waited less has not given up. */
    static final double OWED = 1.0;

    /** Seconds between two beats, so that a gap is told from the loop's usual turns. */
    static final double BEAT = 0.1;

    /**
     * Beats after a gap in which the loop reads what had piled up; those that are late themselves
     * don't count.
     */
    private static final int CATCHING_UP = 3;

    /**
     * A gap that, with the longest time between two beats, could hold a caller's whole patience.
     */
    private static final double GAP = OWED - BEAT;

    private double beat;
    private int beatsToGo;

    Stillness(double now) {
        beat = now;
    }

    /** To be told each {@code BEAT} seconds while the process runs. */
    void beat(double now) {
        if (now - beat > GAP) {
            beatsToGo = CATCHING_UP;
        } else if (beatsToGo > 0 && now - beat <= 2 * BEAT) {
            // A fixed time would be over before one who gets little of the processor has read
            // anything.
            beatsToGo--;
        }
        beat = now;
    }

    /** Whether what is read now may have come longer ago than its sender waits. */
    boolean mayHaveWaited(double now) {
        return now - beat > GAP || beatsToGo > 0;
    }
}
