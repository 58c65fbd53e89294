package embershift.model;

import java.util.List;

/**
 * Receives what happens to a node, one call per event, in the order of arrival. Events about
 * tunnels, setups or hosts that are unknown or have ended have no effect. Times are in seconds.
 */
public interface NodeEvents {

    /**
     * The complete roster. {@code fromCache}: it is only the copy that the node held before it
     * started.
     */
    void rosterReplaced(List<RosterEntry> entries, boolean fromCache);

    /** Entries of the roster that were added or changed; all other entries stay as they were. */
    void rosterChanged(List<RosterEntry> entries);

    /** A call to the roster failed, or its watch broke; the last known roster stays in force. */
    void rosterWatchLost();

    /**
     * Operators take a host out of service, or state that it may serve again and has just been
     * restarted; this overrides the roster.
     */
    default void hostAdminStateChanged(HostId host, boolean outOfService) {}

    /**
     * A tunnel arrived, and the node now owes it one final answer. Participant, subject and group
     * are null where not given. {@code midFlow}: it continues a passed-through tunnel, which its
     * host may still keep.
     */
    void tunnelArrived(
            TunnelId id,
            ProfileId profile,
            ParticipantId participant,
            SubjectId subject,
            GroupId group,
            double clientTimeLeft,
            boolean midFlow);

    /** A tunnel that was already open when the node started; its first setup counts as number 0. */
    void tunnelResumed(
            TunnelId id,
            ProfileId profile,
            ParticipantId participant,
            SubjectId subject,
            GroupId group,
            HostId host);

    /** The host accepted this setup, {@code duration} after it was sent, and the tunnel is open. */
    void tunnelOpened(TunnelId id, int setup, HostId host, double duration);

    /**
     * The client left, or the final answer was overdue; setups still in flight end by themselves.
     */
    void tunnelAbandoned(TunnelId id);

    /**
     * A setup ended. {@code tunnelEnded}: the tunnel has had its final answer, with this outcome or
     * earlier.
     */
    void setupEnded(
            TunnelId id,
            int setup,
            HostId host,
            SetupOutcome outcome,
            double duration,
            boolean tunnelEnded);

    /**
     * An open tunnel's current load, in seconds of work per second; its host's reported load
     * includes it.
     */
    default void tunnelLoadMeasured(TunnelId id, double load) {}

    /** How long a message takes at this host now. */
    void messageDelayMeasured(HostId host, double delay);

    /** A probe was answered, or failed, {@code duration} after it was sent. */
    void probeEnded(HostId host, boolean answered, double duration);

    /** A host's own report; NaN for each figure that it does not report. */
    void hostReported(HostId host, double loadOverCapacity, double openTunnels, double queued);

    /** Another node sent a message to this one. */
    void nodeMessageReceived(int node, byte[] content);

    /**
     * This node is to stop soon. Its front sends new tunnels to it only for a moment longer or,
     * where it is {@code replaced}, to another process that already serves at its address.
     */
    void nodeLeaving(boolean replaced);
}
