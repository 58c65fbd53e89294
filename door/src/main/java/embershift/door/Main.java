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

/** The command line of a node with a door. The platform's run starts the node without this. */
public final class Main {

    private static final int USAGE = 2;
    private static final int CANNOT_START = 4;

    private Main() {
    }

    private static class Given {
        @Parameter(names = "--configuration", description = "The node's file; else the one that LB_CONFIG names")
        String configuration = System.getenv("LB_CONFIG");

        @Parameter(names = "--door", description = "The file that names the instances", required = true)
        String door;

        DoorFile door() throws Toml.Unusable {
            return DoorFile.read(Path.of(door));
        }

        NodeConfiguration read() throws Unreadable {
            if (configuration == null || configuration.isEmpty()) {
                throw new Unreadable("no configuration: set LB_CONFIG or give --configuration FILE");
            }
            try {
                return NodeConfiguration.read(Files.readString(Path.of(configuration), StandardCharsets.UTF_8),
                        System.getenv("LB_MANAGEMENT"));
            } catch (IOException | InvalidPathException e) {
                throw new Unreadable("configuration " + configuration + " can't be read: " + e.getMessage());
            } catch (Unreadable e) {
                throw new Unreadable("configuration " + configuration + ": " + e.getMessage());
            }
        }
    }

    @Parameters(commandDescription = "Be a node that takes the fleet's orders")
    private static final class Serve extends Given {
    }

    @Parameters(commandDescription = "Say whether a node could run by these files")
    private static final class Check extends Given {
    }

    public static void main(String[] args) {
        Serve serve = new Serve();
        Check check = new Check();
        JCommander line = JCommander.newBuilder().programName("embershift-door").addCommand("serve", serve)
                .addCommand("check", check).build();
        try {
            line.parse(args);
            if ("serve".equals(line.getParsedCommand())) {
                Service.start(serve::read, new Door(serve.door()));
            } else if ("check".equals(line.getParsedCommand())) {
                System.out.println("sound: " + check.read().name() + " takes orders of " + String.join(", ", check.door().instances()));
            } else {
                throw new ParameterException("serve or check is wanted");
            }
        } catch (ParameterException | Unreadable | Toml.Unusable e) {
            System.err.println(e.getMessage().lines().findFirst().orElse(""));
            System.exit(USAGE);
        } catch (IOException e) {
            System.err.println("can't start: " + e.getMessage());
            System.exit(CANNOT_START);
        }
    }
}
