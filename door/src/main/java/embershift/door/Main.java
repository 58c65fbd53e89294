package embershift.door;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import embershift.program.Service;
import embershift.protocol.NodeConfiguration;
import embershift.protocol.Unreadable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;

/** The command line of a node with a door. The platform's run starts the node without this. */
public final class Main {

    private static final int USAGE = 2;
    private static final int CANNOT_START = 4;

    private Main() {}

    private static class Given {
        @Parameter(
                names = "--configuration",
                description = "The node's file; else the one that LB_CONFIG names")
        String configuration = System.getenv("LB_CONFIG");

        @Parameter(
                names = "--door",
                description = "The file that names the instances",
                required = true)
        String door;

        DoorFile door() throws Toml.Unusable {
            return DoorFile.read(Path.of(door));
        }

        NodeConfiguration read() throws Unreadable {
            if (configuration == null || configuration.isEmpty()) {
                throw new Unreadable(
                        "no configuration: set LB_CONFIG or give --configuration FILE");
            }
            try {
                return NodeConfiguration.read(
                        Files.readString(Path.of(configuration), StandardCharsets.UTF_8),
                        System.getenv("LB_MANAGEMENT"));
            } catch (IOException | InvalidPathException e) {
                throw new Unreadable(
                        "configuration " + configuration + " can't be read: " + e.getMessage());
            } catch (Unreadable e) {
                throw new Unreadable("configuration " + configuration + ": " + e.getMessage());
            }
        }
    }

    @Parameters(commandDescription = "Be a node that takes the fleet's orders")
    private static final class Serve extends Given {}

    @Parameters(commandDescription = "Say whether a node could run by these files")
    private static final class Check extends Given {}

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
        if (status >= 0) {
            System.exit(status);
        }
    }

    /** The exit status; negative: the program goes on by itself. */
    public static int run(String[] args) {
        Serve serve = new Serve();
        Check check = new Check();
        Help help = new Help();
        JCommander line =
                JCommander.newBuilder()
                        .programName("embershift-door")
                        .addObject(help)
                        .addCommand("serve", List.of(serve, help))
                        .addCommand("check", List.of(check, help))
                        .build();
        try {
            line.parse(args);
            if (help.wanted) {
                (line.getParsedCommand() == null
                                ? line
                                : line.getCommands().get(line.getParsedCommand()))
                        .usage();
                return 0;
            } else if ("serve".equals(line.getParsedCommand())) {
                Service.start(serve::read, new Door(serve.door()));
                return -1;
            } else if ("check".equals(line.getParsedCommand())) {
                System.out.println(
                        "sound: "
                                + check.read().name()
                                + " takes orders of "
                                + String.join(", ", check.door().instances()));
                return 0;
            } else {
                throw new ParameterException("serve or check is wanted");
            }
        } catch (ParameterException | Unreadable | Toml.Unusable e) {
            System.err.println(e.getMessage().lines().findFirst().orElse(""));
            return USAGE;
        } catch (IOException e) {
            System.err.println("can't start: " + e.getMessage());
            return CANNOT_START;
        }
    }
}
