package embershift.emulator.day;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/**
 * One line of what goes wrong: {@code what} befalls {@code whom} {@code at} a time, {@code lasts}
 * so long, and again {@code every} so often, {@code times} in all. Troubles overlap freely.
 */
public record Trouble(
        What what,
        String whom,
        String peer,
        Direction direction,
        double at,
        @JsonProperty("for") double lasts,
        double every,
        int times,
        double factor,
        double part,
        boolean otherAddress,
        boolean politely) {

    /**
     * What can befall a fleet; {@code docs/emulator.md} tells what each does and which keys it
     * reads.
     */
    public enum What {
        CRASH("hosts nodes"),
        VANISH("hosts"),
        SLOW("hosts"),
        STALL("hosts"),
        FAIL_FAST("hosts"),
        MUTE("hosts"),
        HALF_ANSWER("hosts"),
        REFUSE("hosts"),
        NEIGHBOUR("hosts"),
        DRAIN("hosts"),
        CUT("hosts nodes"),
        FLAP("hosts"),
        RESTART("nodes"),
        PAUSE("nodes"),
        DROP("clients"),
        TRAFFIC("clients"),
        COSTLY("clients"),
        STORE_SLOW("store"),
        ROSTER_AWAY("roster"),
        ROSTER_OLD("roster"),
        ROSTER_SHRINKS("roster");

        private final String aims;

        What(String aims) {
            this.aims = aims;
        }

        /** Whether it can befall these: hosts, nodes, clients, store or roster. */
        public boolean canBefall(String sort) {
            return (" " + aims + " ").contains(" " + sort + " ");
        }

        public String aims() {
            return aims.replace(" ", " or ");
        }

        /** As it is written in a day's file. */
        @JsonValue
        public String written() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /** Which way a cut holds messages back, seen from those it befalls. */
    public enum Direction {
        IN,
        OUT,
        BOTH
    }
}
