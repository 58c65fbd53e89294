package embershift.door;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.nio.file.Path;
import java.util.List;

/**
 * Settings of a node's agent, from an operator's file.
 *
 * @param instances addresses of the control-plane instances, as HOST:PORT
 * @param reportSeconds seconds between two reports to them
 * @param maxOrderAgeSeconds seconds after which an order is rejected as too old
 * @param listTimeoutSeconds seconds without an endpoint list after which discovery is polled
 * @param listTimeoutJitterSeconds the most by which a node delays that further, drawn by each
 * @param startTimeoutSeconds seconds for which a node that has started waits for the instances
 *     before it serves without them
 * @param stalePolicy what a node does that hears no instance for {@code staleAfterSeconds}
 * @param staleAfterSeconds seconds without an instance after which the node is stale
 * @param maxPendingEntries the most entries of the audit log that wait to be uploaded
 */
public record AgentSettings(
        List<String> instances,
        @JsonProperty("report-s") Double reportSeconds,
        @JsonProperty("oldest-order-s") Double maxOrderAgeSeconds,
        @JsonProperty("alone-s") Double listTimeoutSeconds,
        @JsonProperty("spread-s") Double listTimeoutJitterSeconds,
        @JsonProperty("start-s") Double startTimeoutSeconds,
        @JsonProperty("stale") StalePolicy stalePolicy,
        @JsonProperty("stale-after-s") Double staleAfterSeconds,
        @JsonProperty("trail-entries") Integer maxPendingEntries) {

    private static final double DEFAULT_REPORT_SECONDS = 0.5;
    private static final double DEFAULT_MAX_ORDER_AGE_SECONDS = 3;
    private static final double DEFAULT_LIST_TIMEOUT_SECONDS = 3;
    private static final double DEFAULT_START_TIMEOUT_SECONDS = 2;
    private static final double DEFAULT_STALE_AFTER_SECONDS = 60;
    private static final int DEFAULT_MAX_PENDING_ENTRIES = 4096;

    /** What a node does that hears no instance any more. */
    public enum StalePolicy {
        /** It goes on by the last revision that it has. */
        @JsonProperty("serve")
        SERVE,
        /** It shuts down gracefully. */
        @JsonProperty("leave")
        LEAVE
    }

    /** Puts the defaults in for what is null. */
    public AgentSettings {
        instances = List.copyOf(instances);
        reportSeconds = orElse(reportSeconds, DEFAULT_REPORT_SECONDS);
        maxOrderAgeSeconds = orElse(maxOrderAgeSeconds, DEFAULT_MAX_ORDER_AGE_SECONDS);
        listTimeoutSeconds = orElse(listTimeoutSeconds, DEFAULT_LIST_TIMEOUT_SECONDS);
        listTimeoutJitterSeconds = orElse(listTimeoutJitterSeconds, DEFAULT_LIST_TIMEOUT_SECONDS);
        startTimeoutSeconds = orElse(startTimeoutSeconds, DEFAULT_START_TIMEOUT_SECONDS);
        stalePolicy = orElse(stalePolicy, StalePolicy.SERVE);
        staleAfterSeconds = orElse(staleAfterSeconds, DEFAULT_STALE_AFTER_SECONDS);
        maxPendingEntries = orElse(maxPendingEntries, DEFAULT_MAX_PENDING_ENTRIES);
    }

    private static <T> T orElse(T given, T defaultValue) {
        return given == null ? defaultValue : given;
    }

    /** Reads a settings file; the exception's message is one line that names file and key. */
    public static AgentSettings read(Path file) throws TomlSettings.InvalidSettingsException {
        return read(TomlSettings.readText(file), file.toString());
    }

    static AgentSettings read(String text, String file)
            throws TomlSettings.InvalidSettingsException {
        AgentSettings settings =
                TomlSettings.read(text, file, "door", tree -> {}, AgentSettings.class);
        for (String address : settings.instances) {
            if (!TomlSettings.isValidAddress(address)) {
                throw new TomlSettings.InvalidSettingsException(
                        file + ": " + address + ": a port is 65535 at the most");
            }
        }
        if (settings.maxOrderAgeSeconds < 2 * settings.reportSeconds) {
            throw new TomlSettings.InvalidSettingsException(
                    file
                            + ": oldest-order-s: not under twice report-s, or each order would be void");
        }
        return settings;
    }
}
