package embershift.signals;

/**
 * Handlers for operating system signals. In Java only {@code sun.misc.Signal} can install them, and
 * its use causes a compiler warning that can't be suppressed. This class therefore has a module of
 * its own, so that warnings can be errors in all other modules.
 */
public final class Signals {

    private Signals() {}

    /**
     * Runs {@code action} at each SIGHUP.
     *
     * @return whether the signal reaches this process; false where the process was started with the
     *     signal ignored, as under nohup
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
