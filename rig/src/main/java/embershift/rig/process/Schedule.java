package embershift.rig.process;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;

/**
 * A run of instances and their clients, and what goes wrong in it when. Times in seconds from its
 * beginning. {@code reaches}: what must have happened in it at least so often, or it proves
 * nothing.
 */
public record Schedule(
        String name,
        double lasts,
        int instances,
        int clients,
        Map<String, Long> reaches,
        List<Fault> fault) {

    /** What goes wrong. */
    public enum What {
        /** Nothing passes from {@code whom} to {@code peer}; or in either direction. */
        CUT,
        PART,
        /**
         * What passes from {@code whom} to {@code peer} is late by {@code seconds}, and up to
         * {@code jitter} more.
         */
        DELAY,
        /** It passes a few bytes at a time. */
        TRICKLE,
        /** The next bytes pass in half, then the connection is reset. */
        RESET,
        /**
         * The process ends without a word, and is started again when the fault is over; or is asked
         * to end.
         */
        KILL,
        TERMINATE,
        /** It stands still. */
        STOP,
        /** Its disk takes nothing more; or takes its time. */
        DISK_FULL,
        DISK_SLOW,
        /** Killed, and the last bytes of its log cut off; or one of them changed. */
        LOG_CUT,
        LOG_FLIPPED,
        /** Killed, and its folder lost: it comes back as another, and is taken in again. */
        FOLDER_LOST;

        public String written() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /**
     * {@code whom}: an instance, {@code leader}, {@code follower} or {@code clients}; {@code peer}:
     * the same, or {@code others} for all other instances, {@code all} for these and the clients.
     */
    public record Fault(
            double at,
            double lasts,
            What what,
            String whom,
            String peer,
            @JsonProperty("seconds") double delay,
            double jitter) {

        public Fault {
            peer = peer == null ? "others" : peer;
            whom = whom == null ? "" : whom;
        }

        String line() {
            return String.format(
                    Locale.ROOT,
                    "[[fault]]%nat = %.3f%nlasts = %.3f%nwhat = \"%s\"%nwhom = \"%s\"%npeer = \"%s\"%n"
                            + "seconds = %.3f%njitter = %.3f%n",
                    at,
                    lasts,
                    what.written(),
                    whom,
                    peer,
                    delay,
                    jitter);
        }
    }

    /** It can't be played. The message is one line. */
    public static final class Unreadable extends Exception {

        private static final long serialVersionUID = 1;

        Unreadable(String message) {
            super(message);
        }
    }

    public Schedule {
        fault = fault == null ? List.of() : List.copyOf(fault);
        reaches = reaches == null ? Map.of() : Map.copyOf(reaches);
    }

    /** Seconds that a schedule lasts at the most. */
    private static final double LONGEST = 3600;

    private static final int MOST_INSTANCES = 9;
    private static final int MOST_CLIENTS = 64;

    public static Schedule read(Path file) throws Unreadable {
        try {
            return read(Files.readString(file, StandardCharsets.UTF_8), file.toString());
        } catch (IOException e) {
            throw new Unreadable(file + ": can't be read: " + e.getMessage());
        }
    }

    static Schedule read(String text, String file) throws Unreadable {
        Schedule schedule;
        try {
            schedule =
                    JsonMapper.builder()
                            .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
                            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                            .build()
                            .treeToValue(
                                    new TomlMapper().readTree(withNames(text)), Schedule.class);
        } catch (JacksonException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            throw new Unreadable(
                    file
                            + ":"
                            + line
                            + ": "
                            + e.getOriginalMessage().lines().findFirst().orElse(""));
        }
        schedule.check(file);
        return schedule;
    }

    /** Kinds are written with a dash. */
    private static String withNames(String text) {
        String names = text;
        for (What what : What.values()) {
            names =
                    names.replaceAll(
                            "(what\\s*=\\s*)\"" + what.written() + "\"",
                            "$1\"" + what.name() + "\"");
        }
        return names;
    }

    private void check(String file) throws Unreadable {
        if (!(lasts > 0 && lasts <= LONGEST)
                || instances < 1
                || instances > MOST_INSTANCES
                || clients < 0
                || clients > MOST_CLIENTS) {
            throw new Unreadable(
                    file
                            + ": lasts over 0 to "
                            + LONGEST
                            + ", instances 1 to "
                            + MOST_INSTANCES
                            + ", clients 0 to "
                            + MOST_CLIENTS
                            + " are wanted");
        }
        for (Fault each : fault) {
            if (each.what == null
                    || !(each.at >= 0 && each.at < lasts)
                    || !(each.lasts >= 0)
                    || !(each.delay >= 0)
                    || !(each.jitter >= 0)) {
                throw new Unreadable(
                        file
                                + ": fault at "
                                + each.at
                                + ": needs \"what\", and times within the schedule");
            }
            boolean known = each.whom.matches("leader|follower|clients|i[1-" + instances + "]");
            boolean peerKnown =
                    each.peer.matches("leader|follower|clients|others|all|i[1-" + instances + "]");
            if (!known || !peerKnown) {
                throw new Unreadable(
                        file
                                + ": fault at "
                                + each.at
                                + ": there is no "
                                + (known ? each.peer : each.whom));
            }
        }
    }

    /** As a file. */
    public String text() {
        StringBuilder text =
                new StringBuilder(
                        String.format(
                                Locale.ROOT,
                                "name = \"%s\"%nlasts = %.1f%ninstances = %d%nclients = %d%n",
                                name,
                                lasts,
                                instances,
                                clients));
        fault.forEach(each -> text.append('\n').append(each.line()));
        return text.toString();
    }

    /** With these faults in place of its own. */
    public Schedule with(List<Fault> faults) {
        return new Schedule(name, lasts, instances, clients, Map.of(), faults);
    }

    /** A random one. */
    public static Schedule drawn(long seed, double lasts, int instances, int clients) {
        Random chance = new Random(seed);
        List<Fault> faults = new ArrayList<>();
        boolean lost = false;
        for (double at = 0.3; at < lasts; at += 0.2 + 1.5 * chance.nextDouble()) {
            What what = What.values()[chance.nextInt(What.values().length)];
            boolean forgets =
                    what == What.LOG_CUT || what == What.LOG_FLIPPED || what == What.FOLDER_LOST;
            if (forgets && lost) {
                // One at a time: a majority that forgets is past what any agreement bears.
                what = What.KILL;
            }
            lost |= forgets;
            String[] some = {"leader", "leader", "follower", "i" + (1 + chance.nextInt(instances))};
            String[] peers = {
                "others", "others", "all", "clients", "i" + (1 + chance.nextInt(instances))
            };
            double span = 0.1 + (chance.nextInt(3) == 0 ? 3 : 0.9) * chance.nextDouble();
            faults.add(
                    new Fault(
                            at,
                            Math.min(span, lasts - at),
                            what,
                            some[chance.nextInt(some.length)],
                            peers[chance.nextInt(peers.length)],
                            0.3 * chance.nextDouble(),
                            0.3 * chance.nextDouble()));
        }
        return new Schedule("drawn-" + seed, lasts, instances, clients, Map.of(), faults);
    }
}
