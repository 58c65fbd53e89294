package embershift.emulator.world;

import embershift.model.Decisions;
import embershift.model.Deployment;
import embershift.model.HostId;
import embershift.model.NodeEvents;
import java.util.function.Consumer;

/**
 * Whatever decides for a node: the module itself, a baseline, or a faulty copy that the judge is to
 * catch.
 */
@FunctionalInterface
public interface Module {

    /** One round, as {@code Policy.round} has it. */
    void round(double now, Consumer<NodeEvents> arrivals, Decisions decisions);

    /**
     * Makes the module of one node at each of its starts; {@code truth} is for the baseline that
     * sees everything.
     */
    @FunctionalInterface
    interface Maker {
        Module make(Deployment deployment, Truth truth);
    }

    /** The true state of each host at this moment. */
    interface Truth {

        /** Whether setups sent there now would be taken up. */
        boolean takes(HostId host);

        /** Work asked for and waiting over what it can do now. */
        double load(HostId host);

        /** Whether it holds any of that group. */
        boolean holds(HostId host, String group);

        /** Seconds that a call to the session store waits. */
        double storeWait();

        /**
         * Tunnels it could still be sent while it is cold, without being pushed over; many when it
         * is warm.
         */
        double room(HostId host);
    }
}
