package embershift.emulator.world;

import embershift.emulator.day.Trouble.Direction;
import embershift.model.HostId;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/** What troubles can be done to: a world in virtual time, or the same fleet on sockets. */
public interface Stage {

    Agenda agenda();

    Trace trace();

    List<Host> hosts();

    Crowd crowd();

    /** A host's program ends, or its machine vanishes; without effect on one that is down. */
    void stopHost(Host host, boolean silent);

    /** A program starts there, cold; {@code moved}: under another address. */
    void startHost(Host host, boolean moved);

    /**
     * It takes nothing new, lets its tunnels go as the day has it, stops, and comes back so many
     * seconds later.
     */
    void drainHost(Host host, double lasts);

    /** Lets nothing pass between these and those. */
    void cut(Predicate<Place> inside, Predicate<Place> outside, Direction direction, double lasts);

    /** Kills a node outright and starts it again so many seconds later. */
    void crashNode(int node, double lasts);

    /** Tells a node to stop, and starts it again when it has. */
    void restartNode(int node);

    /** A node's process gets no turn for so long. */
    void pauseNode(int node, double lasts);

    /** Callers whose tunnels stand now. */
    List<Caller> standing();

    /** A client drops its connection and comes again within so long. */
    void drop(Caller caller, double within);

    void storeSlower(double factor);

    void rosterAway(boolean on);

    /** The roster holds the list of so many seconds ago for the truth until then. */
    void rosterOlder(double ago, double until);

    void rosterLeavesOut(Set<HostId> hosts, boolean on);
}
