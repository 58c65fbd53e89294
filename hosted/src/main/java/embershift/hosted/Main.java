package embershift.hosted;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import embershift.door.TomlSettings;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/** The command line of the hosted program. */
public final class Main {

    static final int USAGE = 2;
    private static final int CANNOT_START = 4;

    private Main() {}

    private static class Installed {
        @Parameter(
                names = "--installation",
                description = "The file that tells of this instance",
                required = true)
        String installation;

        Installation read() throws TomlSettings.InvalidSettingsException {
            return Installation.read(Path.of(installation));
        }
    }

    @Parameters(commandDescription = "Run one of the instances that agree")
    private static final class Instances extends Installed {}

    @Parameters(commandDescription = "Say whether an instance could run by this file")
    private static final class Check extends Installed {}

    /** Of the program, and of each command. */
    static final class Help {
        @Parameter(
                names = {"--help", "-h"},
                description = "Say what there is",
                help = true)
        private boolean wanted;

        /** Whether it was asked for; then it has been given. */
        boolean given(JCommander line) {
            if (wanted) {
                (line.getParsedCommand() == null
                                ? line
                                : line.getCommands().get(line.getParsedCommand()))
                        .usage();
            }
            return wanted;
        }
    }

    @Parameters(commandDescription = "Administrators' commands; fleet --help tells them")
    private static final class Fleet {}

    public static void main(String[] args) {
        int status = run(args);
        if (status >= 0) {
            System.exit(status);
        }
    }

    /** The exit status; negative: the program goes on by itself. */
    public static int run(String[] args) {
        Instances instances = new Instances();
        Check check = new Check();
        FleetCommands fleet = new FleetCommands();
        Help help = new Help();
        JCommander line =
                JCommander.newBuilder()
                        .programName("embershift-hosted")
                        .addObject(help)
                        .addCommand("instance", List.of(instances, help))
                        .addCommand("check", List.of(check, help))
                        .addCommand("fleet", new Fleet())
                        .build();
        if (args.length > 0 && args[0].equals("fleet")) {
            return fleet.run(Arrays.copyOfRange(args, 1, args.length));
        }
        try {
            line.parse(args);
            if (help.given(line)) {
                return 0;
            }
            if ("instance".equals(line.getParsedCommand())) {
                Instance.start(instances.read());
                return -1;
            }
            if ("check".equals(line.getParsedCommand())) {
                Installation read = check.read();
                System.out.println("sound: " + read.name() + " listens at " + read.listen());
                return 0;
            }
            throw new ParameterException("instance, check or fleet is wanted");
        } catch (ParameterException | TomlSettings.InvalidSettingsException e) {
            System.err.println(e.getMessage().lines().findFirst().orElse(""));
            return USAGE;
        } catch (IOException e) {
            System.err.println("can't start: " + e.getMessage());
            return CANNOT_START;
        }
    }
}
