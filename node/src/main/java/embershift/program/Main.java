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

/** The command line of a node. */
public final class Main {

    private static final int USAGE_ERROR = 2;

    private Main() {}

    /** A command; returns the program's exit status, or -1 where the program keeps running. */
    private interface Command {
        int run() throws IOException, MalformedDataException;
    }

    @Parameters(commandDescription = "Run a node: listen for clients and place their tunnels")
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
            commandDescription = "Read a configuration and tell whether a node could start with it")
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
            commandDescription = "Self-test: run a node with a host and a client in this process")
    private static final class Rehearse implements Command {
        @Override
        public int run() throws IOException, MalformedDataException {
            try {
                new SelfTest().run(new Log(System.err));
                System.out.println("self-test passed: a node can run here");
                return 0;
            } catch (IOException e) {
                throw new MalformedDataException(e.getMessage());
            }
        }
    }

    @Parameters(commandDescription = "Speak the simulator's protocol on standard input and output")
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

    /** The option that the program and each command have. */
    private static final class Help {
        @Parameter(
                names = {"--help", "-h"},
                description = "Print this help",
                help = true)
        private boolean isRequested;
    }

    private abstract static class ConfigurationOptions {
        @Parameter(
                names = "--configuration",
                description = "File to read; by default the one that LB_CONFIG names")
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

    /** Runs the program, and exits unless its status is negative: then a node goes on running. */
    public static void main(String[] args) throws IOException {
        int status = run(args);
        if (status >= 0) {
            System.out.flush();
            System.exit(status);
        }
    }

    /** Runs a command; returns its exit status, negative where the program keeps running. */
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
        JCommander parser = new JCommander(help);
        parser.setProgramName("java -jar embershift.jar");
        commands.keySet().stream()
                .sorted()
                .forEach(name -> parser.addCommand(name, List.of(commands.get(name), help)));
        try {
            parser.parse(args);
            if (help.isRequested) {
                (parser.getParsedCommand() == null
                                ? parser
                                : parser.getCommands().get(parser.getParsedCommand()))
                        .usage();
                return 0;
            }
            if (parser.getParsedCommand() == null) {
                throw new ParameterException(
                        "a command is required: adapter, check, rehearse, serve or version");
            }
            return commands.get(parser.getParsedCommand()).run();
        } catch (ParameterException | MalformedDataException e) {
            System.err.println("embershift: " + e.getMessage());
            return USAGE_ERROR;
        }
    }
}
