package embershift.door;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import embershift.program.NodeProcess;
import embershift.protocol.MalformedDataException;
import embershift.protocol.NodeConfiguration;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;

/** The command line of a node with an agent. The platform's run starts the node without one. */
public final class Main {

    private static final int EXIT_USAGE = 2;
    private static final int EXIT_START_FAILED = 4;

    /** Stands for no exit status: the node lives on its loop. */
    private static final int NO_EXIT_STATUS = -1;

    private Main() {}

    private static class FileOptions {
        @Parameter(
                names = "--configuration",
                description = "The node's file; else the one that LB_CONFIG names")
        String configurationFile = System.getenv("LB_CONFIG");

        @Parameter(
                names = "--door",
                description = "The file that names the instances",
                required = true)
        String settingsFile;

        AgentSettings settings() throws TomlSettings.InvalidSettingsException {
            return AgentSettings.read(Path.of(settingsFile));
        }

        NodeConfiguration configuration() throws MalformedDataException {
            if (configurationFile == null || configurationFile.isEmpty()) {
                throw new MalformedDataException(
                        "no configuration: set LB_CONFIG or give --configuration FILE");
            }
            try {
                return NodeConfiguration.parse(
                        Files.readString(Path.of(configurationFile), StandardCharsets.UTF_8),
                        System.getenv("LB_MANAGEMENT"));
            } catch (IOException | InvalidPathException e) {
                throw new MalformedDataException(
                        "configuration " + configurationFile + " can't be read: " + e.getMessage());
            } catch (MalformedDataException e) {
                throw new MalformedDataException(
                        "configuration " + configurationFile + ": " + e.getMessage());
            }
        }
    }

    @Parameters(commandDescription = "Be a node that takes the fleet's orders")
    private static final class Serve extends FileOptions {}

    @Parameters(commandDescription = "Say whether a node could run by these files")
    private static final class Check extends FileOptions {}

    /** The option that the program and each command has. */
    private static final class Help {
        @Parameter(
                names = {"--help", "-h"},
                description = "Say what there is",
                help = true)
        private boolean isRequested;
    }

    /** Runs a command; ends the process where it is done. */
    public static void main(String[] args) {
        int status = run(args);
        if (status != NO_EXIT_STATUS) {
            System.exit(status);
        }
    }

    /**
     * Runs a command; returns its exit status, or {@link #NO_EXIT_STATUS} where the node goes on.
     */
    public static int run(String[] args) {
        try {
            return runCommand(args);
        } catch (ParameterException
                | MalformedDataException
                | TomlSettings.InvalidSettingsException e) {
            System.err.println(e.getMessage().lines().findFirst().orElse(""));
            return EXIT_USAGE;
        } catch (IOException e) {
            System.err.println("can't start: " + e.getMessage());
            return EXIT_START_FAILED;
        }
    }

    private static int runCommand(String[] args)
            throws IOException, MalformedDataException, TomlSettings.InvalidSettingsException {
        Serve serve = new Serve();
        Check check = new Check();
        Help help = new Help();
        JCommander commands =
                JCommander.newBuilder()
                        .programName("embershift-door")
                        .addObject(help)
                        .addCommand("serve", List.of(serve, help))
                        .addCommand("check", List.of(check, help))
                        .build();
        commands.parse(args);
        String command = commands.getParsedCommand();
        if (help.isRequested) {
            (command == null ? commands : commands.getCommands().get(command)).usage();
            return 0;
        } else if ("serve".equals(command)) {
            NodeProcess.start(serve::configuration, new FleetAgent(serve.settings()));
            return NO_EXIT_STATUS;
        } else if ("check".equals(command)) {
            System.out.println(
                    "sound: "
                            + check.configuration().name()
                            + " takes orders of "
                            + String.join(", ", check.settings().instances()));
            return 0;
        }
        throw new ParameterException("serve or check is wanted");
    }
}
