package embershift.model;

/** How a setup, or the tunnel that it opened, ended. */
public enum SetupOutcome {
    COMPLETED(false),
    ERROR(false),
    TIMED_OUT(false),
    BROKEN(false),
    CANCELLED(false),
    FULL(true),
    NO_CONNECTION(true),
    NOT_SENT(true);

    private final boolean neverRan;

    SetupOutcome(boolean neverRan) {
        this.neverRan = neverRan;
    }

    /** Whether this outcome proves that nothing ran on the host. */
    public boolean neverRan() {
        return neverRan;
    }
}
