package embershift.emulator;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import embershift.emulator.baseline.Baselines;
import embershift.emulator.day.Day;
import embershift.emulator.day.DayReader;
import embershift.emulator.day.UnreadableDay;
import embershift.emulator.experiment.Apart;
import embershift.emulator.experiment.Comparison;
import embershift.emulator.experiment.Hunt;
import embershift.emulator.experiment.Lines;
import embershift.emulator.experiment.Play;
import embershift.emulator.experiment.Result;
import embershift.emulator.experiment.Sweep;
import embershift.emulator.report.Report;
import embershift.emulator.sockets.SocketDay;
import embershift.emulator.world.Trace;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The emulator's command line. */
public final class Main {

    private static final int BROKEN = 1;
    private static final int USAGE = 2;

    private Main() {}

    /** A sub-command; returns the program's exit status. */
    private interface Command {
        int run() throws IOException, UnreadableDay;
    }

    private static class Days {
        final DayReader reader = new DayReader();

        @Parameter(description = "FILE", required = true)
        List<String> files = new ArrayList<>();

        @Parameter(
                names = "--size",
                description = "Another fleet, as NODESxHOSTS; the traffic follows the hosts")
        String size;

        @Parameter(
                names = "--set",
                description = "KEY=VALUE in place of the file's, such as traffic.load=0.7")
        List<String> set = new ArrayList<>();

        Path file() {
            if (files.size() != 1) {
                throw new ParameterException("one FILE is wanted, not " + files.size());
            }
            return Path.of(files.get(0));
        }

        Map<String, String> changes() {
            Map<String, String> changes = new LinkedHashMap<>();
            for (String pair : set) {
                String[] parts = pair.split("=", 2);
                if (parts.length < 2) {
                    throw new ParameterException("--set takes KEY=VALUE, not " + pair);
                }
                changes.put(parts[0], parts[1]);
            }
            if (size != null) {
                if (!size.matches("[1-9]\\d{0,3}x[1-9]\\d{0,3}")) {
                    throw new ParameterException("--size takes NODESxHOSTS, not " + size);
                }
                changes.put("fleet.nodes", size.split("x")[0]);
                changes.put("fleet.hosts", size.split("x")[1]);
            }
            return changes;
        }

        Day day() throws UnreadableDay {
            return reader.read(file(), changes());
        }

        List<String> known(List<String> names) {
            for (String name : names) {
                if (Baselines.of(name) == null) {
                    throw new ParameterException(
                            "there is no "
                                    + name
                                    + " among "
                                    + String.join(", ", Baselines.names()));
                }
            }
            return names;
        }
    }

    @Parameters(commandDescription = "Read a day and say whether it could be played")
    private static final class Check extends Days implements Command {
        @Override
        public int run() throws UnreadableDay {
            Day day = day();
            System.out.printf(
                    "sound: %s, %d nodes, %d hosts, %d troubles%n",
                    day.name(), day.fleet().nodes(), day.fleet().hosts(), day.trouble().size());
            return 0;
        }
    }

    @Parameters(
            commandDescription =
                    "Play a day once and tell what became of it; exit 1 where a rule was broken")
    private static final class Run extends Days implements Command {
        @Parameter(names = "--seed", description = "Seed of all chance")
        long seed = 1;

        @Parameter(names = "--with", description = "Who decides: the module or a baseline")
        String with = Baselines.OWN;

        @Parameter(
                names = "--trace",
                description = "Tell all of one tunnel, caller (c12), host or node, in order")
        String trace;

        @Parameter(names = "--out", description = "A file for the result, as one line of JSON")
        String out;

        @Parameter(
                names = "--sockets",
                description =
                        "Play it on loopback too, in real time, and tell how far apart they "
                                + "are: nodes in this process (here) or in their own (forked)")
        String sockets;

        private int playOnSockets() throws IOException, UnreadableDay {
            SocketDay.Nodes nodes;
            try {
                nodes = SocketDay.Nodes.valueOf(sockets.toUpperCase(Locale.ROOT));
            } catch (IllegalArgumentException e) {
                throw new ParameterException("--sockets takes here or forked, not " + sockets);
            }
            Play play = Play.of(day(), Baselines.OWN, seed);
            Result virtual = play.play(Baselines.of(Baselines.OWN), Trace.NONE, true).result();
            Play.SocketPlay real = play.onSockets(nodes, Trace.NONE);
            System.out.print(Apart.table(virtual, real));
            if (out != null) {
                Lines.write(Path.of(out), List.of(virtual, real.result()));
            }
            return real.result().breaches().isEmpty() && real.troubles().isEmpty() ? 0 : BROKEN;
        }

        @Override
        public int run() throws IOException, UnreadableDay {
            known(List.of(with));
            if (sockets != null) {
                return playOnSockets();
            }
            Trace told = trace == null ? Trace.NONE : new Trace(trace, System.out::println);
            Play.Timed played = Play.of(day(), with, seed).play(Baselines.of(with), told, true);
            Result result = played.result();
            System.out.printf(
                    Locale.ROOT,
                    "%s, %d x %d, seed %d, %s%n",
                    result.day(),
                    result.nodes(),
                    result.hosts(),
                    seed,
                    with);
            System.out.printf(
                    Locale.ROOT,
                    "service %.4f, worst 10 s %.4f, worst profile %.4f, worst participant %.4f%n",
                    result.service(),
                    result.worstTen(),
                    result.worstProfile(),
                    result.worstParticipant());
            System.out.println("counted " + result.counts());
            System.out.println("costs   " + result.costs());
            System.out.println("to open " + result.opening());
            result.breaches().forEach(System.out::println);
            System.err.printf(
                    Locale.ROOT,
                    "took %.2f s, %.2f s of it in the module; %.0f tunnels a second; %d MB%n",
                    played.nanos() / 1e9,
                    played.moduleNanos() / 1e9,
                    result.counts().get("tunnels") / (played.nanos() / 1e9),
                    (Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory()) >> 20);
            if (out != null) {
                Lines.write(Path.of(out), List.of(result));
            }
            return result.breaches().isEmpty() ? 0 : BROKEN;
        }
    }

    @Parameters(
            commandDescription =
                    "Play a day by many seeds, the module beside baselines, and compare them in pairs")
    private static final class Compare extends Days implements Command {
        @Parameter(names = "--with", description = "Baselines, separated by commas")
        List<String> with = List.of("random", "p2c", "paper", "top");

        @Parameter(names = "--seeds", description = "How many")
        int seeds = 20;

        @Parameter(names = "--cores", description = "Days played at once")
        int cores = Runtime.getRuntime().availableProcessors();

        @Parameter(names = "--out", description = "A file for all results, as JSON Lines")
        String out;

        @Override
        public int run() throws IOException, UnreadableDay {
            if (seeds < 1 || cores < 1) {
                throw new ParameterException("--seeds and --cores take 1 or more");
            }
            Comparison comparison = Comparison.of(day(), known(with), seeds, cores, System.err);
            System.out.print(comparison.table());
            if (out != null) {
                Lines.write(Path.of(out), comparison.results());
            }
            return 0;
        }
    }

    @Parameters(
            commandDescription =
                    "Play a grid of days; ended and started again, it goes on where it stood")
    private static final class Grid extends Days implements Command {
        @Parameter(
                names = "--vary",
                description = "KEY=A,B,C; may be given again for another key",
                required = true,
                splitter = Whole.class)
        List<String> vary = new ArrayList<>();

        @Parameter(names = "--with", description = "Who decides, separated by commas")
        List<String> with = List.of(Baselines.OWN);

        @Parameter(names = "--seeds", description = "How many for each point")
        int seeds = 3;

        @Parameter(names = "--cores", description = "Days played at once")
        int cores = Runtime.getRuntime().availableProcessors();

        @Parameter(
                names = "--out",
                description = "The file of results, as JSON Lines",
                required = true)
        String out;

        @Override
        public int run() throws IOException, UnreadableDay {
            Map<String, List<String>> keys = new LinkedHashMap<>();
            for (String one : vary) {
                String[] parts = one.split("=", 2);
                if (parts.length < 2 || parts[1].isEmpty()) {
                    throw new ParameterException("--vary takes KEY=A,B,C, not " + one);
                }
                keys.put(parts[0], List.of(parts[1].split(",")));
            }
            Sweep sweep = new Sweep(file(), reader, keys, changes(), known(with), seeds);
            System.out.print(Sweep.table(sweep.play(Path.of(out), cores, System.err)));
            return 0;
        }
    }

    /** A parameter that is not split at its commas. */
    public static final class Whole implements com.beust.jcommander.converters.IParameterSplitter {
        @Override
        public List<String> split(String value) {
            return List.of(value);
        }
    }

    @Parameters(
            commandDescription = "Look for the day on which the module loses most, and shrink it")
    private static final class Chase extends Days implements Command {
        @Parameter(names = "--minutes", description = "How long to look; shrinking comes after")
        double minutes = 5;

        @Parameter(
                names = "--days",
                description = "Draw so many days instead, however long it takes")
        int days;

        @Parameter(names = "--seed", description = "Seed of what is drawn")
        long seed = 1;

        @Parameter(names = "--cores", description = "Days played at once")
        int cores = Runtime.getRuntime().availableProcessors();

        @Parameter(names = "--out", description = "The file for the day that was found")
        String out = "found.toml";

        @Override
        public int run() throws IOException, UnreadableDay {
            String text = Files.readString(file(), StandardCharsets.UTF_8);
            long end = System.nanoTime() + (long) (minutes * 60e9);
            Hunt.Find found =
                    new Hunt(
                                    reader,
                                    reader.tree(text, file().toString()),
                                    file().toString(),
                                    seed,
                                    cores)
                            .hunt(
                                    4 * cores,
                                    played -> days > 0 ? played < days : System.nanoTime() < end,
                                    System.err::println);
            if (found == null) {
                System.out.println("nothing was played");
                return 0;
            }
            String told =
                    String.format(
                            Locale.ROOT,
                            "# Found by hunting with seed %d; shows with --seed %d.%n"
                                    + "# embershift %.4f, top %.4f%s%n",
                            seed,
                            found.seed(),
                            found.own().service(),
                            found.top().service(),
                            found.own().breaches().isEmpty()
                                    ? ""
                                    : "; " + found.own().breaches().get(0));
            Files.writeString(Path.of(out), told + found.text(), StandardCharsets.UTF_8);
            System.out.print(told + found.text());
            return found.own().breaches().isEmpty() ? 0 : BROKEN;
        }
    }

    @Parameters(commandDescription = "Make one HTML page with plots of all results in a folder")
    private static final class Page implements Command {
        @Parameter(description = "FOLDER", required = true)
        List<String> folders = new ArrayList<>();

        @Override
        public int run() throws IOException {
            System.out.println(Report.make(Path.of(folders.get(0))));
            return 0;
        }
    }

    /** Of the program, and of each command. */
    private static final class Help {
        @Parameter(
                names = {"--help", "-h"},
                description = "Say what there is",
                help = true)
        private boolean wanted;
    }

    public static void main(String[] args) {
        int status = run(args);
        System.out.flush();
        System.exit(status);
    }

    /** The exit status. */
    public static int run(String[] args) {
        Map<String, Command> commands = new LinkedHashMap<>();
        commands.put("check", new Check());
        commands.put("run", new Run());
        commands.put("compare", new Compare());
        commands.put("sweep", new Grid());
        commands.put("hunt", new Chase());
        commands.put("report", new Page());
        Help help = new Help();
        JCommander line = new JCommander(help);
        line.setProgramName("java -jar embershift-emulator.jar");
        commands.forEach((name, command) -> line.addCommand(name, List.of(command, help)));
        try {
            line.parse(args);
            if (help.wanted) {
                (line.getParsedCommand() == null
                                ? line
                                : line.getCommands().get(line.getParsedCommand()))
                        .usage();
                return 0;
            }
            if (line.getParsedCommand() == null) {
                throw new ParameterException(
                        "a sub-command is wanted: " + String.join(", ", commands.keySet()));
            }
            return commands.get(line.getParsedCommand()).run();
        } catch (ParameterException | UnreadableDay e) {
            System.err.println("embershift-emulator: " + e.getMessage());
        } catch (IOException e) {
            System.err.println(
                    "embershift-emulator: " + e.getClass().getSimpleName() + ": " + e.getMessage());
        }
        return USAGE;
    }
}
