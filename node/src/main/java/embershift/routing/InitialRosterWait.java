package embershift.routing;

import embershift.transport.EventLoop;
import java.util.function.Consumer;

/**
 * Delays an action of a starting node until it has a current list of hosts. If discovery does not
 * answer in time, the action is run all the same: a node that goes by the list it remembers is
 * better than none.
 */
final class InitialRosterWait {

    private final EventLoop loop;
    private final Consumer<String> log;
    private Runnable action;
    private EventLoop.Timer timer;

    InitialRosterWait(EventLoop loop, Consumer<String> log) {
        this.loop = loop;
        this.log = log;
    }

    void begin(double maxSeconds, Runnable delayedAction) {
        action = delayedAction;
        timer = loop.schedule(maxSeconds, this::giveUp);
    }

    /** The list was confirmed; the action runs after the policy's round that takes it. */
    void rosterConfirmed() {
        if (action != null) {
            timer.cancel();
            loop.execute(takeAction());
        }
    }

    private void giveUp() {
        log.accept("discovery has not answered: goes by the list of hosts in the configuration");
        takeAction().run();
    }

    private Runnable takeAction() {
        Runnable taken = action;
        action = null;
        return taken;
    }
}
