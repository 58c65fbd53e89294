package embershift.emulator.day;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * One day of a fleet, as read from its file by {@link DayReader}, with every key that the file
 * leaves out taken from {@code usual.toml}, where each key is explained. Times are seconds; work is
 * seconds of one core of speed 1; shares are parts of 1. Ranges are written as two numbers, drawn
 * from evenly.
 */
public record Day(
        String name,
        double lasts,
        Fleet fleet,
        List<Kind> kind,
        HostModel host,
        Traffic traffic,
        List<Profile> profile,
        List<Participant> participant,
        Callers callers,
        Store store,
        Roster roster,
        Network network,
        Front front,
        NodeModel node,
        Rules rules,
        Limits limits,
        Score score,
        List<Trouble> trouble) {

    public record Fleet(int nodes, int hosts, int cell, List<String> zones) {}

    /** A machine kind: {@code cores} of a speed drawn from {@code speed}. */
    public record Kind(String name, double share, int cores, double[] speed) {}

    public record HostModel(
            int connections,
            double[] reportEvery,
            double probeWork,
            double setupWork,
            double messageWork,
            double groupCost,
            double warmAfter,
            double coldFrom,
            Drain drain,
            double drainFor,
            double backlog) {}

    /** What a draining host does with its tunnels until it stops. */
    public enum Drain {
        @JsonProperty("at-once")
        AT_ONCE,
        GRADUALLY,
        KEPT
    }

    public record Traffic(
            double load,
            boolean standing,
            double life,
            double lifeSpread,
            double perCore,
            double loadSpread,
            double loadChangesEvery,
            double groupSize) {}

    public record Profile(
            String name,
            double share,
            Repeat repeat,
            Scope scope,
            double window,
            double goal,
            double patience,
            double message,
            double credit,
            double load,
            double life) {}

    public enum Repeat {
        REPEATABLE,
        REFERENCED,
        @JsonProperty("once-only")
        ONCE_ONLY
    }

    public enum Scope {
        ALL,
        ZONE,
        CELL
    }

    /** {@code share}: what it may use; {@code part}: what it does use of the traffic. */
    public record Participant(String name, double share, double part) {}

    public record Callers(int retries, double[] pause, double[] returns) {}

    public record Store(double room, double patience) {}

    public record Roster(double[] lag, double callWork, double mustAskWithin, double patience) {}

    public record Network(double[] within, double[] between, double loss, double again) {}

    public record Front(double[] notices) {}

    public record NodeModel(double[] starts, double leaves, double[] frontLag, double wakes) {}

    public record Rules(double drainGrace, double fallMultiple, double fallAfter) {}

    public record Limits(
            int mostSetups,
            boolean mayProbe,
            boolean mayTellNodes,
            boolean mayCancel,
            boolean advice,
            double longestReturn,
            double connectTimeout) {}

    public record Score(double beyondShare) {}
}
