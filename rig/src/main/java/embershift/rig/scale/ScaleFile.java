package embershift.rig.scale;

import com.fasterxml.jackson.annotation.JsonProperty;
import embershift.door.TomlSettings;
import java.nio.file.Path;
import java.util.List;

/**
 * What is measured at which points, and the size for which it is read off. {@code repeats}: of each
 * point, whose median counts. A part that is left out is not measured.
 */
public record ScaleFile(
        String name,
        Integer repeats,
        Size size,
        Module module,
        Nodes words,
        Groups groups,
        Keys record,
        Hosts lists,
        Nodes rollout,
        Nodes trails,
        Hollow hollow) {

    private static final int REPEATS = 5;
    private static final double LEAST_SPAN = 5;

    public ScaleFile {
        repeats = repeats == null ? REPEATS : repeats;
    }

    /**
     * The size planned for. {@code connections}: of one node; {@code lifetime}: seconds that one
     * lasts in the mean; {@code groups}: in all; {@code listeners}: of the largest.
     */
    public record Size(
            int nodes,
            int hosts,
            int connections,
            @JsonProperty("lifetime-s") double lifetime,
            int groups,
            int listeners) {

        /** Tunnels that a node places in a second. */
        public double placements() {
            return connections / lifetime;
        }
    }

    /** {@code seconds}: of virtual time measured at each point. */
    public record Module(List<Integer> hosts, Double seconds) {

        public Module {
            seconds = seconds == null ? LEAST_SPAN : seconds;
        }
    }

    public record Nodes(List<Integer> nodes) {}

    public record Groups(List<Integer> listeners, List<Integer> groups) {}

    public record Keys(List<Integer> keys) {}

    public record Hosts(List<Integer> hosts) {}

    /**
     * {@code real}: nodes that are processes of their own, in place of hollow ones; {@code kill}:
     * the leading instance ends in the middle of the changes, and comes back; {@code startEvery}:
     * seconds between the starts of two hollow nodes, 0 for all together.
     */
    public record Hollow(
            List<Integer> nodes,
            Integer hosts,
            Integer instances,
            Integer changes,
            Boolean real,
            Boolean kill,
            @JsonProperty("start-every-s") Double startEvery) {

        private static final int HOSTS = 20;
        private static final int INSTANCES = 3;
        private static final int CHANGES = 20;

        public Hollow {
            hosts = hosts == null ? HOSTS : hosts;
            instances = instances == null ? INSTANCES : instances;
            changes = changes == null ? CHANGES : changes;
            real = real != null && real;
            kill = kill != null && kill;
            startEvery = startEvery == null ? 0 : startEvery;
        }
    }

    public static ScaleFile read(Path file) throws TomlSettings.InvalidSettingsException {
        return read(TomlSettings.readText(file), file.toString());
    }

    static ScaleFile read(String text, String file) throws TomlSettings.InvalidSettingsException {
        ScaleFile read = TomlSettings.read(text, file, "scale", tree -> {}, ScaleFile.class);
        if (read.module == null
                && read.words == null
                && read.groups == null
                && read.record == null
                && read.lists == null
                && read.rollout == null
                && read.trails == null
                && read.hollow == null) {
            throw new TomlSettings.InvalidSettingsException(
                    file
                            + ": nothing is to be measured: a part of module, words, groups, record, lists, rollout, "
                            + "trails or hollow is wanted");
        }
        if (read.hollow != null
                && read.hollow.real
                && read.hollow.nodes.stream().anyMatch(many -> many > ResourceLimits.REAL_NODES)) {
            throw new TomlSettings.InvalidSettingsException(
                    file
                            + ": hollow.nodes: "
                            + ResourceLimits.REAL_NODES
                            + " real nodes at the most, each is a process");
        }
        return read;
    }
}
