package embershift.model;

import java.util.List;

/**
 * What a node hears, one call for each piece of news, in the order in which it came in. News of
 * tunnels, setups or hosts that are over or unknown has no effect. Times are seconds.
 */
public interface NodeEvents {

    /**
     * The complete roster; {@code remembered} when it is only the copy that the node held before it
     * started.
     */
    void rosterReplaced(List<RosterEntry> entries, boolean fromCache);

    void rosterChanged(List<RosterEntry> entries);

    /** A call to the roster failed, or its watch broke; what was listed before still stands. */
    void rosterWatchLost();

    /**
     * Staff take a host out of service, or say that it may serve again, just started; whatever the
     * roster says.
     */
    default void hostAdminStateChanged(HostId host, boolean outOfService) {}

    /**
     * The node now owes this tunnel one final answer; participant, subject and group are null where
     * not given.
     */
    void tunnelArrived(
            TunnelId id,
            ProfileId profile,
            ParticipantId participant,
            SubjectId subject,
            GroupId group,
            double clientTimeLeft,
            boolean midFlow);

    /** A tunnel that already stood when the node started; its first setup counts as number 0. */
    void tunnelResumed(
            TunnelId id,
            ProfileId profile,
            ParticipantId participant,
            SubjectId subject,
            GroupId group,
            HostId host);

    void tunnelOpened(TunnelId id, int setup, HostId host, double duration);

    /**
     * The client left, or the final answer was overdue; setups still out will end by themselves.
     */
    void tunnelAbandoned(TunnelId id);

    /** {@code over}: the tunnel has had its final answer, with this end or before. */
    void setupEnded(
            TunnelId id,
            int setup,
            HostId host,
            SetupOutcome outcome,
            double duration,
            boolean tunnelEnded);

    /**
     * A standing tunnel's load now, in seconds of work a second; its host's own figure holds it
     * already.
     */
    default void tunnelLoadMeasured(TunnelId id, double load) {}

    /** How long a message takes at this host now. */
    void messageDelayMeasured(HostId host, double delay);

    void probeEnded(HostId host, boolean answered, double duration);

    /** A host's own figures; NaN for each that it does not report. */
    void hostReported(HostId host, double loadOverCapacity, double openTunnels, double queued);

    void nodeMessageReceived(int node, byte[] content);

    /**
     * This node is to stop soon: its front sends it new tunnels only for a moment more, or, where
     * it is {@code replaced}, to another process that serves at its address already.
     */
    void nodeLeaving(boolean replaced);
}
