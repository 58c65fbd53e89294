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
public record Installation(
        String name,
        String folder,
        String listen,
        String address,
        boolean drills,
        Pace pace,
        Bounds bounds,
        Map<String, String> ways,
        Fleet fleet) {

    /**
     * What the duties go by; absent: this instance owns none. {@code discovery}: asked for all
     * nodes; {@code manager}: who starts hosts and nodes anew; {@code session}: seconds without a
     * word after which a duty goes to another. Others: see {@link RolloutSettings}.
     */
    public record Fleet(
            String discovery,
            String manager,
            @JsonProperty("session-s") Double session,
            @JsonProperty("settle-s") Double settle,
            @JsonProperty("patience-s") Double patience,
            @JsonProperty("silent-s") Double silent,
            @JsonProperty("first-share") Double share,
            @JsonProperty("tries") Integer tries,
            @JsonProperty("at-once") Integer flight,
            @JsonProperty("service") Double service) {

        private static final double STUCK = 5;

        public Fleet {
            RolloutSettings usual = RolloutSettings.DEFAULTS;
            session = session == null ? LeaseSettings.DEFAULTS.sessionSeconds() : session;
            settle = settle == null ? usual.settleSeconds() : settle;
            patience = patience == null ? usual.canaryTimeoutSeconds() : patience;
            silent = silent == null ? usual.silentSeconds() : silent;
            share = share == null ? usual.canaryShare() : share;
            tries = tries == null ? usual.maxAttempts() : tries;
            flight = flight == null ? usual.maxInFlight() : flight;
            service = service == null ? usual.minServiceRate() : service;
        }

        /**
         * Of a duty that is never done: one that hears no node, or can't ask what it should, lets
         * others try.
         */
        LeaseSettings standing() {
            return terms(STUCK * session, LeaseSettings.DEFAULTS.maxStepAttempts());
        }

        LeaseSettings terms(double stuck, int owners) {
            LeaseSettings usual = LeaseSettings.DEFAULTS;
            return new LeaseSettings(
                    session, usual.retrySeconds(), stuck, owners, usual.maxBackoffSeconds());
        }

        RolloutSettings rollout() {
            return new RolloutSettings(
                    settle,
                    patience,
                    RolloutSettings.DEFAULTS.retrySeconds(),
                    flight,
                    tries,
                    silent,
                    share,
                    service);
        }
    }

    /** See {@link embershift.raft.RaftTiming}. */
    public record Pace(
            @JsonProperty("tick-s") Double tick,
            @JsonProperty("heartbeat-s") Double heartbeat,
            @JsonProperty("election-s") Double election,
            @JsonProperty("stall-s") Double stall) {

        public Pace {
            tick = tick == null ? 0.02 : tick;
            heartbeat = heartbeat == null ? 0.06 : heartbeat;
            election = election == null ? 0.3 : election;
            stall = stall == null ? 1.0 : stall;
        }

        embershift.raft.RaftTiming inTicks() {
            return new embershift.raft.RaftTiming(ticks(heartbeat), ticks(election), ticks(stall));
        }

        private int ticks(double seconds) {
            return (int) Math.max(1, Math.round(seconds / tick));
        }
    }

    /** What may pile up; {@code callers}: connections of those that are no instances. */
    public record Bounds(
            @JsonProperty("command-bytes") Integer command,
            @JsonProperty("waiting-bytes") Integer waiting,
            @JsonProperty("snapshot-entries") Integer snapshotEntries,
            @JsonProperty("snapshot-log-bytes") Long snapshotLogBytes,
            @JsonProperty("trail-entries") Integer trail,
            @JsonProperty("log-file-bytes") Long logFile,
            @JsonProperty("callers") Integer callers) {

        public Bounds {
            embershift.raft.RaftLimits usual = embershift.raft.RaftLimits.DEFAULTS;
            command = command == null ? usual.maxCommandBytes() : command;
            waiting = waiting == null ? usual.maxUncommittedBytes() : waiting;
            snapshotEntries = snapshotEntries == null ? 10_000 : snapshotEntries;
            snapshotLogBytes = snapshotLogBytes == null ? 16L << 20 : snapshotLogBytes;
            trail = trail == null ? usual.retainedEntries() : trail;
            logFile = logFile == null ? 8L << 20 : logFile;
            callers = callers == null ? 512 : callers;
        }

        embershift.raft.RaftLimits ofRaft() {
            embershift.raft.RaftLimits usual = embershift.raft.RaftLimits.DEFAULTS;
            return new embershift.raft.RaftLimits(
                    command,
                    usual.maxMessageBytes(),
                    usual.maxInflightMessages(),
                    waiting,
                    usual.snapshotChunkBytes(),
                    usual.maxSnapshotBytes(),
                    trail);
        }
    }

    public Installation {
        address = address == null ? listen : address;
        pace = pace == null ? new Pace(null, null, null, null) : pace;
        bounds = bounds == null ? new Bounds(null, null, null, null, null, null, null) : bounds;
        ways = ways == null ? Map.of() : Map.copyOf(ways);
    }

    public static Installation read(Path file) throws TomlSettings.InvalidSettingsException {
        return read(TomlSettings.readText(file), file.toString());
    }

    static Installation read(String text, String file)
            throws TomlSettings.InvalidSettingsException {
        Installation read =
                TomlSettings.read(
                        text,
                        file,
                        "installation",
                        tree -> {
                            if (!tree.has("drills")) {
                                tree.put("drills", false);
                            }
                        },
                        Installation.class);
        read.check(file);
        return read;
    }

    private void check(String file) throws TomlSettings.InvalidSettingsException {
        try {
            pace.inTicks();
        } catch (IllegalArgumentException e) {
            throw new TomlSettings.InvalidSettingsException(file + ": pace: " + e.getMessage());
        }
        if (bounds.waiting < bounds.command) {
            throw new TomlSettings.InvalidSettingsException(
                    file + ": bounds.waiting-bytes: not under bounds.command-bytes");
        }
        List<String> addresses = new ArrayList<>(ways.values());
        addresses.addAll(List.of(listen, address));
        if (fleet != null) {
            Stream.of(fleet.discovery, fleet.manager)
                    .filter(Objects::nonNull)
                    .forEach(addresses::add);
        }
        for (String each : addresses) {
            if (!TomlSettings.isValidAddress(each)) {
                throw new TomlSettings.InvalidSettingsException(
                        file + ": " + each + ": a port is 65535 at the most");
            }
        }
    }
}
