package embershift.rig;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import embershift.door.TomlSettings;
import embershift.rig.process.FirstDiscovery;
import embershift.rig.process.FleetMeasure;
import embershift.rig.process.FleetPlay;
import embershift.rig.process.Instances;
import embershift.rig.process.Measure;
import embershift.rig.process.Play;
import embershift.rig.process.Schedule;
import embershift.rig.process.Starts;
import embershift.rig.scale.Scale;
import embershift.rig.world.FleetWorld;
import embershift.rig.world.ReleaseWorld;
import embershift.rig.world.Worlds;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The rig's command line: schedules with real processes, and simulated worlds. */
public final class Main {

    private static final int BROKEN = 1;
    private static final int USAGE = 2;
    private static final long SHRINKING_NS = 600_000_000_000L;

    private Main() {}

    private interface Command {
        int run() throws IOException, Schedule.Unreadable;
    }

    @Parameters(commandDescription = "FILE: plays a schedule; exit 1 where something was broken")
    private static final class PlayIt implements Command {
        @Parameter(description = "FILE", required = true)
        List<String> files = new ArrayList<>();

        @Parameter(names = "--seed", description = "Seed of all chance")
        long seed = 1;

        @Override
        public int run() throws IOException, Schedule.Unreadable {
            Schedule schedule = Schedule.read(Path.of(files.get(0)));
            Path folder = Files.createTempDirectory("rig");
            return told(Play.play(schedule, seed, folder), folder);
        }
    }

    private static int told(Play.Report report, Path folder) throws IOException {
        System.out.printf(
                "%s seed %d: %s, all in step after %.2f s%n",
                report.schedule(),
                report.seed(),
                report.broken() == null ? "nothing broken" : "BROKEN",
                report.healed());
        System.out.println(report.reached());
        if (report.broken() == null) {
            Instances.delete(folder);
            return 0;
        }
        System.out.println(report.broken());
        System.out.println("what is left of the run: " + folder);
        return BROKEN;
    }

    @Parameters(
            commandDescription =
                    "Plays random schedules; one that breaks something is shrunk and written as a file")
    private static final class Hunt implements Command {
        @Parameter(names = "--minutes", description = "How long")
        double minutes = 10;

        @Parameter(names = "--seed", description = "Of the first schedule")
        long seed = System.nanoTime() & 0xffffff;

        @Parameter(names = "--lasts", description = "Seconds of each schedule")
        double lasts = 12;

        @Override
        public int run() throws IOException {
            long until = System.nanoTime() + (long) (minutes * 60e9);
            for (long each = seed; System.nanoTime() < until; each++) {
                Schedule schedule = Schedule.drawn(each, lasts, each % 2 == 0 ? 3 : 5, 4);
                Path folder = Files.createTempDirectory("rig");
                int status = told(Play.play(schedule, each, folder), folder);
                if (status != 0) {
                    Schedule small = shrunk(schedule, each);
                    Path file = folder.resolve("shrunk.toml");
                    Files.writeString(file, small.text());
                    System.out.println("shrunk to " + small.fault().size() + " faults: " + file);
                    return status;
                }
            }
            return 0;
        }

        /**
         * Real processes: the same schedule may break once and not again, so what can't be left out
         * stays.
         */
        private static Schedule shrunk(Schedule schedule, long seed) throws IOException {
            Schedule small = schedule;
            long until = System.nanoTime() + SHRINKING_NS;
            for (int i = 0; i < small.fault().size() && System.nanoTime() < until; ) {
                List<Schedule.Fault> fewer = new ArrayList<>(small.fault());
                fewer.remove(i);
                Path folder = Files.createTempDirectory("rig");
                if (Play.play(small.with(fewer), seed, folder).broken() != null) {
                    small = small.with(fewer);
                } else {
                    i++;
                }
                Instances.delete(folder);
            }
            return small;
        }
    }

    @Parameters(commandDescription = "Simulated worlds of the agreement")
    private static final class Simulate implements Command {
        @Parameter(names = "--worlds", description = "How many")
        long worlds = 1000;

        @Parameter(names = "--seed", description = "Of the first")
        long seed = 1;

        @Override
        public int run() {
            return Worlds.tell(seed, worlds) ? 0 : BROKEN;
        }
    }

    @Parameters(commandDescription = "The figures of docs/agreement.md, on this machine")
    private static final class Figures implements Command {
        @Parameter(names = "--times", description = "How often each fault is tried")
        int times = 20;

        @Parameter(
                names = "--revisions",
                description = "How many an instance that was away has to catch up on")
        int revisions = 100_000;

        @Override
        public int run() throws IOException {
            Measure.all(times, revisions);
            return 0;
        }
    }

    @Parameters(
            commandDescription =
                    "Simulated fleets and releases: nodes, owners and whoever starts things anew, with faults between them")
    private static final class Fleets implements Command {
        @Parameter(names = "--worlds", description = "How many of each")
        long worlds = 1000;

        @Parameter(names = "--seed", description = "Of the first")
        long seed = 1;

        @Override
        public int run() {
            for (long from = seed; from < seed + worlds; from += 1000) {
                long many = Math.min(1000, seed + worlds - from);
                for (String broken :
                        new String[] {
                            FleetWorld.firstBroken(from, many), ReleaseWorld.firstBroken(from, many)
                        }) {
                    if (broken != null) {
                        System.out.println(broken);
                        return BROKEN;
                    }
                }
                System.out.println((from + many - seed) + " of each, nothing broken");
            }
            return 0;
        }
    }

    @Parameters(
            commandDescription =
                    "Fleets of processes under faults drawn from seeds; exit 1 where something was broken")
    private static final class FleetHunt implements Command {
        @Parameter(names = "--minutes", description = "How long")
        double minutes = 10;

        @Parameter(names = "--seed", description = "Of the first")
        long seed = System.nanoTime() & 0xffffff;

        @Parameter(names = "--lasts", description = "Seconds of faults in each")
        double lasts = 30;

        @Parameter(names = "--nodes", description = "Nodes of each")
        int nodes = 10;

        @Parameter(names = "--instances", description = "Instances of each")
        int instances = 5;

        @Override
        public int run() throws IOException {
            long until = System.nanoTime() + (long) (minutes * 60e9);
            for (long each = seed; System.nanoTime() < until; each++) {
                Path folder = Files.createTempDirectory("rig");
                FleetPlay.Report report = FleetPlay.play(each, lasts, instances, nodes, folder);
                System.out.printf(
                        "seed %d: %s, all current after %.2f s%n%s%n",
                        each,
                        report.broken() == null ? "nothing broken" : "BROKEN",
                        report.healed(),
                        report.reached());
                if (report.broken() != null) {
                    System.out.println(report.broken() + "\nwhat is left of the run: " + folder);
                    return BROKEN;
                }
                Instances.delete(folder);
            }
            return 0;
        }
    }

    @Parameters(
            commandDescription = "The figures of docs/duties.md and docs/audit.md, on this machine")
    private static final class FleetFigures implements Command {
        @Parameter(names = "--nodes", description = "How many nodes, each a process")
        int nodes = 10;

        @Parameter(names = "--times", description = "How often each fault is tried")
        int times = 10;

        @Parameter(names = "--revisions", description = "How many revisions go round")
        int revisions = 30;

        @Override
        public int run() throws IOException {
            FleetMeasure.all(nodes, times, revisions);
            return 0;
        }
    }

    @Parameters(
            commandDescription =
                    "FILE: how costs grow with the fleet, the figures of docs/CAPACITY.md; exit 1 where it is not whole")
    private static final class Scales implements Command {
        @Parameter(description = "FILE", required = true)
        List<String> files = new ArrayList<>();

        @Parameter(names = "--json", description = "The result as JSON")
        boolean json;

        @Parameter(names = "--report", description = "Where a page with plots is written")
        String report;

        @Override
        public int run() throws IOException {
            try {
                Scale.End end =
                        Scale.run(
                                Path.of(files.get(0)),
                                json,
                                report == null ? null : Path.of(report));
                if (!end.whole()) {
                    System.err.println(end.why());
                }
                return end.whole() ? 0 : BROKEN;
            } catch (TomlSettings.InvalidSettingsException e) {
                throw new ParameterException(e.getMessage());
            }
        }
    }

    @Parameters(
            commandDescription =
                    "How long nodes take until they are ready, many started at once, whatever discovery does; exit 1 "
                            + "where fewer than nine in ten are within 10 s")
    private static final class StartTimes implements Command {
        @Parameter(
                names = "--times",
                description = "How many starts at least; each round is played whole")
        int times = 100;

        @Parameter(names = "--together", description = "How many at once")
        int together = 30;

        @Parameter(
                names = "--hosts",
                description = "How many hosts stand in the list that they start with")
        int hosts = 90;

        @Parameter(
                names = "--discovery",
                description =
                        "What discovery does: sound, refused, silent, slow, half, endless; dealt out in turn")
        List<FirstDiscovery.Kind> discovery = List.of(FirstDiscovery.Kind.values());

        @Parameter(
                names = "--deployment",
                description =
                        "The file whose run starts a node, from the folder that this is called in")
        String deployment = "deploy/balancer.toml";

        @Override
        public int run() throws IOException, Schedule.Unreadable {
            if (times < 1 || together < 1 || together > 100 || hosts < 1 || hosts > 500) {
                throw new ParameterException(
                        "--times takes 1 or more, --together 1 to 100, --hosts 1 to 500");
            }
            List<String> line = List.of("bash", "-c", Starts.platforms(Path.of(deployment)));
            Path folder = Files.createTempDirectory("rig");
            List<Starts.Start> all = new ArrayList<>();
            try (Starts starts = new Starts(folder, line, together, hosts, discovery)) {
                while (all.size() < times) {
                    all.addAll(starts.round());
                }
            }
            if (!Starts.tell(all, together)) {
                System.out.println("what is left of the run: " + folder);
                return BROKEN;
            }
            Instances.delete(folder);
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
        System.exit(run(args));
    }

    /** The exit status. */
    public static int run(String[] args) {
        Help help = new Help();
        JCommander line =
                JCommander.newBuilder().programName("embershift-rig").addObject(help).build();
        Map<String, Command> commands = new LinkedHashMap<>();
        commands.put("play", new PlayIt());
        commands.put("hunt", new Hunt());
        commands.put("worlds", new Simulate());
        commands.put("measure", new Figures());
        commands.put("fleets", new Fleets());
        commands.put("hunt-fleet", new FleetHunt());
        commands.put("measure-fleet", new FleetFigures());
        commands.put("starts", new StartTimes());
        commands.put("scale", new Scales());
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
                        "a command is wanted: " + String.join(", ", commands.keySet()));
            }
            return commands.get(line.getParsedCommand()).run();
        } catch (ParameterException | Schedule.Unreadable e) {
            System.err.println(e.getMessage().lines().findFirst().orElse(""));
            return USAGE;
        } catch (IOException e) {
            System.err.println(e);
            return BROKEN;
        }
    }
}
