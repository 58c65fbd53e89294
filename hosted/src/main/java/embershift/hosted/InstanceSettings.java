package embershift.hosted;

import com.fasterxml.jackson.annotation.JsonProperty;
import embershift.door.TomlSettings;
import embershift.fleet.lease.LeaseSettings;
import embershift.fleet.rollout.RolloutSettings;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Stream;

/**
 * The settings of one instance; times in seconds.
 *
 * @param directory used by this instance alone
 * @param advertisedAddress where the other instances reach this one; by default where it listens
 * @param faultInjection whether its disk can be made to fail, for drills
 * @param peerAddresses where this instance reaches others, by name; they replace the addresses that
 *     those advertise
 * @param fleet absent if this instance does no tasks of the fleet
 */
public record InstanceSettings(
        String name,
        @JsonProperty("folder") String directory,
        @JsonProperty("listen") String listenAddress,
        @JsonProperty("address") String advertisedAddress,
        @JsonProperty("drills") boolean faultInjection,
        @JsonProperty("pace") TimingSettings timing,
        @JsonProperty("bounds") LimitSettings limits,
        @JsonProperty("ways") Map<String, String> peerAddresses,
        FleetSettings fleet) {

    /**
     * The settings of the fleet's tasks; for the others see {@link RolloutSettings}.
     *
     * @param discovery the address of discovery, which is watched on behalf of all nodes
     * @param discoveryAtNodes the address of the same discovery in the nodes' configurations, where
     *     they reach it by another one; by default the same
     * @param manager the address of the manager that restarts hosts and nodes
     * @param sessionSeconds without word of a lease holder after which another instance takes over
     */
    public record FleetSettings(
            String discovery,
            @JsonProperty("discovery-at-nodes") String discoveryAtNodes,
            String manager,
            @JsonProperty("session-s") Double sessionSeconds,
            @JsonProperty("settle-s") Double settleSeconds,
            @JsonProperty("patience-s") Double patienceSeconds,
            @JsonProperty("silent-s") Double silentSeconds,
            @JsonProperty("first-share") Double canaryShare,
            @JsonProperty("tries") Integer maxAttempts,
            @JsonProperty("at-once") Integer maxInFlight,
            @JsonProperty("service") Double minServiceRate) {

        /** Session timeouts without progress after which a lease is released. */
        private static final double STUCK_SESSIONS = 5;

        public FleetSettings {
            RolloutSettings defaults = RolloutSettings.DEFAULTS;
            discoveryAtNodes = discoveryAtNodes == null ? discovery : discoveryAtNodes;
            sessionSeconds =
                    sessionSeconds == null
                            ? LeaseSettings.DEFAULTS.sessionSeconds()
                            : sessionSeconds;
            settleSeconds = settleSeconds == null ? defaults.settleSeconds() : settleSeconds;
            patienceSeconds =
                    patienceSeconds == null ? defaults.canaryTimeoutSeconds() : patienceSeconds;
            silentSeconds = silentSeconds == null ? defaults.silentSeconds() : silentSeconds;
            canaryShare = canaryShare == null ? defaults.canaryShare() : canaryShare;
            maxAttempts = maxAttempts == null ? defaults.maxAttempts() : maxAttempts;
            maxInFlight = maxInFlight == null ? defaults.maxInFlight() : maxInFlight;
            minServiceRate = minServiceRate == null ? defaults.minServiceRate() : minServiceRate;
        }

        /**
         * Returns the lease settings of a task without end: a holder that hears no node, or cannot
         * reach what it depends on, releases the lease so that others can try.
         */
        LeaseSettings continuousLeaseSettings() {
            return leaseSettings(
                    STUCK_SESSIONS * sessionSeconds, LeaseSettings.DEFAULTS.maxStepAttempts());
        }

        LeaseSettings leaseSettings(double stuckSeconds, int maxStepAttempts) {
            LeaseSettings defaults = LeaseSettings.DEFAULTS;
            return new LeaseSettings(
                    sessionSeconds,
                    defaults.retrySeconds(),
                    stuckSeconds,
                    maxStepAttempts,
                    defaults.maxBackoffSeconds());
        }

        RolloutSettings rolloutSettings() {
            return new RolloutSettings(
                    settleSeconds,
                    patienceSeconds,
                    RolloutSettings.DEFAULTS.retrySeconds(),
                    maxInFlight,
                    maxAttempts,
                    silentSeconds,
                    canaryShare,
                    minServiceRate);
        }
    }

    /** See {@link embershift.raft.RaftTiming}. */
    public record TimingSettings(
            @JsonProperty("tick-s") Double tickSeconds,
            @JsonProperty("heartbeat-s") Double heartbeatSeconds,
            @JsonProperty("election-s") Double electionSeconds,
            @JsonProperty("stall-s") Double stallSeconds) {

        public TimingSettings {
            tickSeconds = tickSeconds == null ? 0.02 : tickSeconds;
            heartbeatSeconds = heartbeatSeconds == null ? 0.06 : heartbeatSeconds;
            electionSeconds = electionSeconds == null ? 0.3 : electionSeconds;
            stallSeconds = stallSeconds == null ? 1.0 : stallSeconds;
        }

        embershift.raft.RaftTiming toRaftTiming() {
            return new embershift.raft.RaftTiming(
                    ticks(heartbeatSeconds), ticks(electionSeconds), ticks(stallSeconds));
        }

        private int ticks(double seconds) {
            return (int) Math.max(1, Math.round(seconds / tickSeconds));
        }
    }

    /**
     * Limits on what accumulates; see also {@link embershift.raft.RaftLimits}.
     *
     * @param maxCallers connections that are neither of other instances nor of nodes
     */
    public record LimitSettings(
            @JsonProperty("command-bytes") Integer maxCommandBytes,
            @JsonProperty("waiting-bytes") Integer maxUncommittedBytes,
            @JsonProperty("snapshot-entries") Integer snapshotEntries,
            @JsonProperty("snapshot-log-bytes") Long snapshotLogBytes,
            @JsonProperty("trail-entries") Integer retainedEntries,
            @JsonProperty("log-file-bytes") Long maxLogFileBytes,
            @JsonProperty("callers") Integer maxCallers) {

        public LimitSettings {
            embershift.raft.RaftLimits defaults = embershift.raft.RaftLimits.DEFAULTS;
            maxCommandBytes =
                    maxCommandBytes == null ? defaults.maxCommandBytes() : maxCommandBytes;
            maxUncommittedBytes =
                    maxUncommittedBytes == null
                            ? defaults.maxUncommittedBytes()
                            : maxUncommittedBytes;
            snapshotEntries = snapshotEntries == null ? 10_000 : snapshotEntries;
            snapshotLogBytes = snapshotLogBytes == null ? 16L << 20 : snapshotLogBytes;
            retainedEntries =
                    retainedEntries == null ? defaults.retainedEntries() : retainedEntries;
            maxLogFileBytes = maxLogFileBytes == null ? 8L << 20 : maxLogFileBytes;
            maxCallers = maxCallers == null ? 512 : maxCallers;
        }

        embershift.raft.RaftLimits toRaftLimits() {
            embershift.raft.RaftLimits defaults = embershift.raft.RaftLimits.DEFAULTS;
            return new embershift.raft.RaftLimits(
                    maxCommandBytes,
                    defaults.maxMessageBytes(),
                    defaults.maxInflightMessages(),
                    maxUncommittedBytes,
                    defaults.snapshotChunkBytes(),
                    defaults.maxSnapshotBytes(),
                    retainedEntries);
        }
    }

    public InstanceSettings {
        advertisedAddress = advertisedAddress == null ? listenAddress : advertisedAddress;
        timing = timing == null ? new TimingSettings(null, null, null, null) : timing;
        limits =
                limits == null
                        ? new LimitSettings(null, null, null, null, null, null, null)
                        : limits;
        peerAddresses = peerAddresses == null ? Map.of() : Map.copyOf(peerAddresses);
    }

    public static InstanceSettings read(Path file) throws TomlSettings.InvalidSettingsException {
        return read(TomlSettings.readText(file), file.toString());
    }

    static InstanceSettings read(String text, String file)
            throws TomlSettings.InvalidSettingsException {
        InstanceSettings read =
                TomlSettings.read(
                        text,
                        file,
                        "installation",
                        tree -> {
                            if (!tree.has("drills")) {
                                tree.put("drills", false);
                            }
                        },
                        InstanceSettings.class);
        read.validate(file);
        return read;
    }

    private void validate(String file) throws TomlSettings.InvalidSettingsException {
        try {
            timing.toRaftTiming();
        } catch (IllegalArgumentException e) {
            throw new TomlSettings.InvalidSettingsException(file + ": pace: " + e.getMessage());
        }
        if (limits.maxUncommittedBytes < limits.maxCommandBytes) {
            throw new TomlSettings.InvalidSettingsException(
                    file + ": bounds.waiting-bytes: must not be less than bounds.command-bytes");
        }
        List<String> addresses = new ArrayList<>(peerAddresses.values());
        addresses.addAll(List.of(listenAddress, advertisedAddress));
        if (fleet != null) {
            Stream.of(fleet.discovery, fleet.discoveryAtNodes, fleet.manager)
                    .filter(Objects::nonNull)
                    .forEach(addresses::add);
        }
        for (String candidate : addresses) {
            if (!TomlSettings.isValidAddress(candidate)) {
                throw new TomlSettings.InvalidSettingsException(
                        file + ": " + candidate + ": a port is at most 65535");
            }
        }
    }
}
