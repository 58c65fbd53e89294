package embershift.signals;

/**
 * Handlers of operating system signals. Java offers them by {@code sun.misc.Signal} alone, whose
 * compiler warning can't be suppressed: so this class is a module of its own, and warnings are
 * errors in all others.
 */
public final class Signals {

    private Signals() {}

    /**
     * Runs {@code action} at each SIGHUP.
     *
     * @return whether the signal reaches this process: not where whoever started it has it ignored,
     *     as under nohup
     */
    public static boolean onHangup(Runnable action) {
        return sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> action.run())
                != sun.misc.SignalHandler.SIG_IGN;
    }

    /** Runs {@code action} at each SIGUSR1. */
    public static void onUser1(Runnable action) {
        sun.misc.Signal.handle(new sun.misc.Signal("USR1"), signal -> action.run());
    }
}
