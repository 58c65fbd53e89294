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

/** The command line of a control-plane instance. */
public final class Main {

    static final int USAGE_ERROR = 2;
    private static final int CANNOT_START = 4;

    private Main() {}

    private static class SettingsOptions {
        @Parameter(
                names = "--installation",
                description = "Settings file of the instance",
                required = true)
        String settingsFile;

        InstanceSettings readSettings() throws TomlSettings.InvalidSettingsException {
            return InstanceSettings.read(Path.of(settingsFile));
        }
    }

    @Parameters(commandDescription = "Run a control-plane instance")
    private static final class RunInstance extends SettingsOptions {}

    @Parameters(commandDescription = "Check the settings file of an instance")
    private static final class CheckSettings extends SettingsOptions {}

    /** The help option of the program and of each command. */
    static final class Help {
        @Parameter(
                names = {"--help", "-h"},
                description = "Print this help",
                help = true)
        private boolean isRequested;

        /** Prints the help if it was requested, and returns whether it was. */
        boolean printIfRequested(JCommander commandLine) {
            if (isRequested) {
                (commandLine.getParsedCommand() == null
                                ? commandLine
                                : commandLine.getCommands().get(commandLine.getParsedCommand()))
                        .usage();
            }
            return isRequested;
        }
    }

    @Parameters(commandDescription = "Administrators' commands; see fleet --help")
    private static final class FleetHelp {}

    public static void main(String[] args) {
        int status = run(args);
        if (status >= 0) {
            System.exit(status);
        }
    }

    /** Returns the exit status; negative if an instance was started, which keeps running. */
    public static int run(String[] args) {
        RunInstance instances = new RunInstance();
        CheckSettings check = new CheckSettings();
        FleetCommands fleet = new FleetCommands();
        Help help = new Help();
        JCommander commandLine =
                JCommander.newBuilder()
                        .programName("embershift-hosted")
                        .addObject(help)
                        .addCommand("instance", List.of(instances, help))
                        .addCommand("check", List.of(check, help))
                        .addCommand("fleet", new FleetHelp())
                        .build();
        if (args.length > 0 && args[0].equals("fleet")) {
            return fleet.run(Arrays.copyOfRange(args, 1, args.length));
        }
        try {
            commandLine.parse(args);
            if (help.printIfRequested(commandLine)) {
                return 0;
            }
            if ("instance".equals(commandLine.getParsedCommand())) {
                Instance.start(instances.readSettings());
                return -1;
            }
            if ("check".equals(commandLine.getParsedCommand())) {
                InstanceSettings settings = check.readSettings();
                System.out.println(
                        "sound: " + settings.name() + " listens at " + settings.listenAddress());
                return 0;
            }
            throw new ParameterException("a command is missing: instance, check or fleet");
        } catch (ParameterException | TomlSettings.InvalidSettingsException e) {
            System.err.println(e.getMessage().lines().findFirst().orElse(""));
            return USAGE_ERROR;
        } catch (IOException e) {
            System.err.println("can't start: " + e.getMessage());
            return CANNOT_START;
        }
    }
}
