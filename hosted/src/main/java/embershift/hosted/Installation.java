package embershift.hosted;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * What an operator says of one instance. {@code folder} is its own; {@code address}: where the others reach it, if that is not
 * where it listens; {@code ways}: where this instance reaches others, by name, in place of what those say. Times in seconds.
 */
public record Installation(String name, String folder, String listen, String address, boolean drills, Pace pace,
                           Bounds bounds, Map<String, String> ways) {

    /** Whether this is HOST:PORT. */
    static boolean isAddress(String text) {
        return text.matches("[^:\\s]+:\\d{1,5}") && Integer.parseInt(text.substring(text.lastIndexOf(':') + 1)) <= 65_535;
    }

    /** See {@link embershift.raft.Pace}. */
    public record Pace(@JsonProperty("tick-s") Double tick, @JsonProperty("heartbeat-s") Double heartbeat,
                       @JsonProperty("election-s") Double election, @JsonProperty("stall-s") Double stall) {

        public Pace {
            tick = tick == null ? 0.02 : tick;
            heartbeat = heartbeat == null ? 0.06 : heartbeat;
            election = election == null ? 0.3 : election;
            stall = stall == null ? 1.0 : stall;
        }

        embershift.raft.Pace inTicks() {
            return new embershift.raft.Pace(ticks(heartbeat), ticks(election), ticks(stall));
        }

        private int ticks(double seconds) {
            return (int) Math.max(1, Math.round(seconds / tick));
        }
    }

    /** What may pile up; {@code callers}: connections of those that are no instances. */
    public record Bounds(@JsonProperty("command-bytes") Integer command, @JsonProperty("waiting-bytes") Integer waiting,
                         @JsonProperty("snapshot-entries") Integer snapshotEntries,
                         @JsonProperty("snapshot-log-bytes") Long snapshotLogBytes,
                         @JsonProperty("trail-entries") Integer trail, @JsonProperty("log-file-bytes") Long logFile,
                         @JsonProperty("callers") Integer callers) {

        public Bounds {
            embershift.raft.Bounds usual = embershift.raft.Bounds.USUAL;
            command = command == null ? usual.command() : command;
            waiting = waiting == null ? usual.waiting() : waiting;
            snapshotEntries = snapshotEntries == null ? 10_000 : snapshotEntries;
            snapshotLogBytes = snapshotLogBytes == null ? 16L << 20 : snapshotLogBytes;
            trail = trail == null ? usual.trail() : trail;
            logFile = logFile == null ? 8L << 20 : logFile;
            callers = callers == null ? 512 : callers;
        }

        embershift.raft.Bounds ofRaft() {
            embershift.raft.Bounds usual = embershift.raft.Bounds.USUAL;
            return new embershift.raft.Bounds(command, usual.message(), usual.flight(), waiting, usual.chunk(),
                    usual.snapshot(), trail);
        }
    }

    /** It can't be used. The message is one line: file, key, what was expected. */
    public static final class Unusable extends Exception {

        private static final long serialVersionUID = 1;

        Unusable(String message) {
            super(message);
        }
    }

    public Installation {
        address = address == null ? listen : address;
        pace = pace == null ? new Pace(null, null, null, null) : pace;
        bounds = bounds == null ? new Bounds(null, null, null, null, null, null, null) : bounds;
        ways = ways == null ? Map.of() : Map.copyOf(ways);
    }

    public static Installation read(Path file) throws Unusable {
        String text;
        try {
            text = Files.readString(file, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new Unusable(file + ": can't be read: " + e.getMessage());
        }
        return read(text, file.toString());
    }

    static Installation read(String text, String file) throws Unusable {
        try (InputStream rules = Installation.class.getResourceAsStream("installation.schema.json")) {
            JsonNode tree = new TomlMapper().readTree(text);
            ValidationMessage wrong = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(rules)
                    .validate(tree).stream().min((one, other) -> one.getMessage().compareTo(other.getMessage()))
                    .orElse(null);
            if (wrong != null) {
                throw new Unusable(file + ": " + wrong.getMessage().replaceFirst("^\\$[.:]? ?", ""));
            }
            Installation read = JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build()
                    .treeToValue(withDrills(tree), Installation.class);
            read.check(file);
            return read;
        } catch (JacksonException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            throw new Unusable(file + ":" + line + ": " + e.getOriginalMessage().lines().findFirst().orElse(""));
        } catch (IOException e) {
            throw new Unusable(file + ": " + e.getMessage());
        }
    }

    private static JsonNode withDrills(JsonNode tree) {
        return tree.has("drills") ? tree : ((ObjectNode) tree).put("drills", false);
    }

    private void check(String file) throws Unusable {
        try {
            pace.inTicks();
        } catch (IllegalArgumentException e) {
            throw new Unusable(file + ": pace: " + e.getMessage());
        }
        if (bounds.waiting < bounds.command) {
            throw new Unusable(file + ": bounds.waiting-bytes: not under bounds.command-bytes");
        }
        List<String> addresses = new ArrayList<>(ways.values());
        addresses.addAll(List.of(listen, address));
        for (String each : addresses) {
            if (!isAddress(each)) {
                throw new Unusable(file + ": " + each + ": a port is 65535 at the most");
            }
        }
    }

    static InetSocketAddress socket(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
