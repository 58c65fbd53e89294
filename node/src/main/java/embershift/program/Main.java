package embershift.program;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import embershift.adapter.Adapter;
import embershift.adapter.MalformedLineException;
import embershift.protocol.Addresses;
import embershift.protocol.MalformedDataException;
import embershift.protocol.NodeConfiguration;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** The command line. */
public final class Main {

    private static final int USAGE_ERROR = 2;

    private Main() {}

    /** A sub-command; returns the program's exit status, or lets it run on with -1. */
    private interface Command {
        int run() throws IOException, MalformedDataException;
    }

    @Parameters(commandDescription = "Be a node: listen for clients and place their tunnels")
    private static final class Serve extends ConfigurationOptions implements Command {
        @Override
        public int run() throws IOException, MalformedDataException {
            try {
                new NodeProcess(this::readConfiguration, new Log(System.err)).start();
            } catch (IOException e) {
                throw new MalformedDataException(e.getMessage());
            }
            return -1;
        }
    }

    @Parameters(
            commandDescription = "Read a configuration and say whether a node could start by it")
    private static final class Check extends ConfigurationOptions implements Command {
        @Override
        public int run() throws IOException, MalformedDataException {
            NodeConfiguration configuration = readConfiguration();
            System.out.println(
                    "sound: "
                            + configuration.name()
                            + " would listen on "
                            + Addresses.format(configuration.listen())
                            + (configuration.hasManagement()
                                    ? ", for operators on "
                                            + Addresses.format(configuration.management())
                                    : ""));
            return 0;
        }
    }

    @Parameters(
            commandDescription =
                    "Play a node with a host and a client, all in this process, and say how it went")
    private static final class Rehearse implements Command {
        @Override
        public int run() throws IOException, MalformedDataException {
            try {
                new SelfTest().run(new Log(System.err));
                System.out.println("rehearsed: a node can live here");
                return 0;
            } catch (IOException e) {
                throw new MalformedDataException(e.getMessage());
            }
        }
    }

    @Parameters(commandDescription = "Speak the bench's wire on standard input and output")
    private static final class RunAdapter implements Command {
        @Override
        public int run() throws IOException {
            try {
                new Adapter(System.in, System.out, System.err).run();
                return 0;
            } catch (MalformedLineException e) {
                System.err.println(e.getMessage());
                return 1;
            }
        }
    }

    @Parameters(commandDescription = "Print the version")
    private static final class PrintVersion implements Command {
        @Override
        public int run() {
            String version = Main.class.getPackage().getImplementationVersion();
            System.out.println("embershift " + (version == null ? "unreleased" : version));
            return 0;
        }
    }

    /** Of the program, and of each command. */
    private static final class Help {
        @Parameter(
                names = {"--help", "-h"},
                description = "Say what there is",
                help = true)
        private boolean isRequested;
    }

    private abstract static class ConfigurationOptions {
        @Parameter(
                names = "--configuration",
                description = "File to read; else the one that LB_CONFIG names")
        private String file = System.getenv("LB_CONFIG");

        NodeConfiguration readConfiguration() throws MalformedDataException {
            if (file == null || file.isEmpty()) {
                throw new MalformedDataException(
                        "no configuration: set LB_CONFIG or give --configuration FILE");
            }
            try {
                return NodeConfiguration.parse(
                        Files.readString(Path.of(file), StandardCharsets.UTF_8),
                        System.getenv("LB_MANAGEMENT"));
            } catch (IOException | InvalidPathException e) {
                throw new MalformedDataException(
                        "configuration " + file + " can't be read: " + e.getMessage());
            } catch (MalformedDataException e) {
                throw new MalformedDataException("configuration " + file + ": " + e.getMessage());
            }
        }
    }

    public static void main(String[] args) throws IOException {
        int status = run(args);
        if (status >= 0) {
            System.out.flush();
            System.exit(status);
        }
    }

    /** The exit status; negative: the program goes on by itself. */
    public static int run(String[] args) throws IOException {
        Map<String, Command> commands =
                Map.of(
                        "serve",
                        new Serve(),
                        "adapter",
                        new RunAdapter(),
                        "version",
                        new PrintVersion(),
                        "check",
                        new Check(),
                        "rehearse",
                        new Rehearse());
        Help help = new Help();
        JCommander line = new JCommander(help);
        line.setProgramName("java -jar embershift.jar");
        commands.keySet().stream()
                .sorted()
                .forEach(name -> line.addCommand(name, List.of(commands.get(name), help)));
        try {
            line.parse(args);
            if (help.isRequested) {
                (line.getParsedCommand() == null
                                ? line
                                : line.getCommands().get(line.getParsedCommand()))
                        .usage();
                return 0;
            }
            if (line.getParsedCommand() == null) {
                throw new ParameterException(
                        "a sub-command is wanted: adapter, check, rehearse, serve or version");
            }
            return commands.get(line.getParsedCommand()).run();
        } catch (ParameterException | MalformedDataException e) {
            System.err.println("embershift: " + e.getMessage());
            return USAGE_ERROR;
        }
    }
}
