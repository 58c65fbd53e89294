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
 * What an operator says of one instance. {@code folder} is its own; {@code address}: where the
 * others reach it, if that is not where it listens; {@code ways}: where this instance reaches
 * others, by name, in place of what those say. Times in seconds.
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
     * What the duties go by; absent: this instance owns none. {@code discovery}: asked for all
     * nodes; {@code manager}: who starts hosts and nodes anew; {@code session}: seconds without a
     * word after which a duty goes to another. Others: see {@link RolloutSettings}.
     */
    public record FleetSettings(
            String discovery,
            String manager,
            @JsonProperty("session-s") Double sessionSeconds,
            @JsonProperty("settle-s") Double settleSeconds,
            @JsonProperty("patience-s") Double patienceSeconds,
            @JsonProperty("silent-s") Double silentSeconds,
            @JsonProperty("first-share") Double canaryShare,
            @JsonProperty("tries") Integer maxAttempts,
            @JsonProperty("at-once") Integer maxInFlight,
            @JsonProperty("service") Double minServiceRate) {

        private static final double STUCK_SESSIONS = 5;

        public FleetSettings {
            RolloutSettings defaults = RolloutSettings.DEFAULTS;
            sessionSeconds =
                    sessionSeconds == null
                            ? LeaseSettings.DEFAULTS.sessionSeconds()
                            : sessionSeconds;
            settleSeconds = settleSeconds == null ? defaults.settleSeconds() : settleSeconds;
            patienceSeconds =
                    patienceSeconds == null ? defaults.patienceSeconds() : patienceSeconds;
            silentSeconds = silentSeconds == null ? defaults.silentSeconds() : silentSeconds;
            canaryShare = canaryShare == null ? defaults.canaryShare() : canaryShare;
            maxAttempts = maxAttempts == null ? defaults.maxAttempts() : maxAttempts;
            maxInFlight = maxInFlight == null ? defaults.maxInFlight() : maxInFlight;
            minServiceRate = minServiceRate == null ? defaults.minServiceRate() : minServiceRate;
        }

        /**
         * Of a duty that is never done: one that hears no node, or can't ask what it should, lets
         * others try.
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

    /** What may pile up; {@code callers}: connections of those that are no instances. */
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
        return read(TomlSettings.text(file), file.toString());
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
                    file + ": bounds.waiting-bytes: not under bounds.command-bytes");
        }
        List<String> addresses = new ArrayList<>(peerAddresses.values());
        addresses.addAll(List.of(listenAddress, advertisedAddress));
        if (fleet != null) {
            Stream.of(fleet.discovery, fleet.manager)
                    .filter(Objects::nonNull)
                    .forEach(addresses::add);
        }
        for (String candidate : addresses) {
            if (!TomlSettings.isAddress(candidate)) {
                throw new TomlSettings.InvalidSettingsException(
                        file + ": " + candidate + ": a port is 65535 at the most");
            }
        }
    }
}
