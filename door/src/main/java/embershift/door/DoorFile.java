package embershift.door;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.nio.file.Path;
import java.util.List;

/**
 * What an operator says of a node's door. {@code instances}: where they are; {@code report}:
 * seconds between two words to them; {@code oldest}: seconds after which an order is void; {@code
 * alone}: seconds without a list after which discovery is asked, and {@code spread}: by how much
 * more at the most, drawn by each node; {@code start}: seconds for which a node that has started
 * waits for the instances before it serves without them; {@code stale}: what it does that hears no
 * instance for {@code staleAfter} seconds: {@code serve} on, or {@code leave}; {@code trail}:
 * entries of its trail that may wait.
 */
public record DoorFile(
        List<String> instances,
        @JsonProperty("report-s") Double report,
        @JsonProperty("oldest-order-s") Double oldest,
        @JsonProperty("alone-s") Double alone,
        @JsonProperty("spread-s") Double spread,
        @JsonProperty("start-s") Double start,
        Stale stale,
        @JsonProperty("stale-after-s") Double staleAfter,
        @JsonProperty("trail-entries") Integer trail) {

    /** What a node does that hears no instance any more. */
    public enum Stale {
        @JsonProperty("serve")
        SERVE,
        @JsonProperty("leave")
        LEAVE
    }

    public DoorFile {
        instances = List.copyOf(instances);
        report = report == null ? 0.5 : report;
        oldest = oldest == null ? 3 : oldest;
        alone = alone == null ? 3 : alone;
        spread = spread == null ? 3 : spread;
        start = start == null ? 2 : start;
        stale = stale == null ? Stale.SERVE : stale;
        staleAfter = staleAfter == null ? 60 : staleAfter;
        trail = trail == null ? 4096 : trail;
    }

    public static DoorFile read(Path file) throws Toml.Unusable {
        return read(Toml.text(file), file.toString());
    }

    static DoorFile read(String text, String file) throws Toml.Unusable {
        DoorFile read = Toml.read(text, file, "door", tree -> {}, DoorFile.class);
        for (String address : read.instances) {
            if (!Toml.isAddress(address)) {
                throw new Toml.Unusable(file + ": " + address + ": a port is 65535 at the most");
            }
        }
        if (read.oldest < 2 * read.report) {
            throw new Toml.Unusable(
                    file
                            + ": oldest-order-s: not under twice report-s, or each order would be void");
        }
        return read;
    }
}
