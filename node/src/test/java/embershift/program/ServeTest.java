package embershift.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Runs the whole program in a process of its own. */
public class ServeTest {

    /**
     * Prepares a start of the program, with the packages exported that the jar's manifest opens.
     */
    static ProcessBuilder builder(String... args) {
        List<String> line =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "--add-exports",
                                "java.base/sun.nio.ch=ALL-UNNAMED",
                                "-cp",
                                System.getProperty("java.class.path"),
                                "embershift.program.Main"));
        line.addAll(List.of(args));
        ProcessBuilder builder = new ProcessBuilder(line);
        builder.environment().remove("LB_CONFIG");
        return builder.redirectErrorStream(true);
    }

    private static Process startProgram(String... args) throws IOException {
        return builder(args).start();
    }

    static BufferedReader reader(java.io.InputStream in) {
        return new BufferedReader(new InputStreamReader(in, StandardCharsets.ISO_8859_1));
    }

    private static ServerSocket listenOnLoopback() throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        server.setSoTimeout(10_000);
        return server;
    }

    static String configuration(int host, int discovery) {
        return """
            {"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:%d","seed":"1",
             "known":{"generation":1,"reset":true,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:%d",
               "zone":"a","lifecycle":"in_service","weight":1,"startedAtMs":0}]},
             "settings":{"balancers":1,"az":"a","discovery":"subscribe",
              "profiles":[{"name":"p","repeat":"idempotent","setup-goal-s":0.5,"client-timeout-s":3}],
              "limits":{"may-probe":false,"may-cancel":true,"may-duplicate":false,"most-setups":3,
                        "retry-after":true},
              "rules":{"must-ask-in-s":9,"drain-grace-s":1,"cold-from":0.3,"warm-after-s":8,
                       "fall-multiple":4,"fall-s":1.5}}}"""
                .formatted(discovery, host);
    }

    @Test
    public void nodeServesAndAtSigtermMovesOpenTunnelsAndExits() throws Exception {
        Path file = Files.createTempFile("embershift", ".json");
        try (ServerSocket host = listenOnLoopback()) {
            Files.writeString(file, configuration(host.getLocalPort(), 9));
            Process node = startProgram("serve", "--configuration", file.toString());
            BufferedReader log = reader(node.getInputStream());
            assertTrue(log.readLine().endsWith("n serving"));
            int port = Integer.parseInt(log.readLine().replaceAll(".*listening on 127.0.0.1:", ""));
            try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
                client.setSoTimeout(10_000);
                client.getOutputStream()
                        .write("OPEN i k c=p,d=3000\r\n".getBytes(StandardCharsets.ISO_8859_1));
                Socket connection = host.accept();
                reader(connection.getInputStream()).readLine();
                connection
                        .getOutputStream()
                        .write("UP r\r\n".getBytes(StandardCharsets.ISO_8859_1));
                BufferedReader answers = reader(client.getInputStream());
                assertEquals(answers.readLine(), "UP r");
                node.toHandle().destroy();
                assertEquals(answers.readLine(), "MOVE");
                assertEquals(answers.readLine(), null);
            }
            assertTrue(log.readLine().endsWith("n leaving"));
            assertTrue(log.readLine().endsWith("n closing"));
            assertTrue(log.readLine().endsWith("n stopped"));
            assertTrue(log.lines().toList().contains("tunnels moved 1"));
            assertTrue(node.waitFor(10, TimeUnit.SECONDS));
        } finally {
            Files.delete(file);
        }
    }

    @Test
    public void configurationIsReloadedAtSighupAndAnInvalidOneChangesNothing() throws Exception {
        Path file = Files.createTempFile("embershift", ".json");
        Process node = null;
        try (ServerSocket oldDiscovery = listenOnLoopback();
                ServerSocket discovery = listenOnLoopback()) {
            Files.writeString(file, configuration(9, oldDiscovery.getLocalPort()));
            node = startProgram("serve", "--configuration", file.toString());
            BufferedReader log = reader(node.getInputStream());
            log.readLine();
            log.readLine();
            String valid =
                    configuration(9, discovery.getLocalPort())
                            .replace("fall-s\":1.5", "fall-s\":2");
            for (String text : List.of(valid.substring(0, valid.length() - 9), "", valid)) {
                Files.writeString(file, text);
                signal("HUP", node);
                boolean isApplied = text.equals(valid);
                String line = log.readLine();
                assertTrue(
                        line.contains(isApplied ? "configuration taken" : "stays in force: "),
                        line);
                assertEquals(line.endsWith("only after a restart: settings"), isApplied, line);
            }
            assertTrue(
                    reader(discovery.accept().getInputStream())
                            .readLine()
                            .startsWith("GET /api/targets"));
            signal("USR1", node);
            List<String> counters = new ArrayList<>();
            while (!counters.contains("configurations taken 1")) {
                counters.add(log.readLine());
            }
            assertTrue(counters.contains("configurations refused 2"));
        } finally {
            if (node != null) {
                node.destroyForcibly();
            }
            Files.delete(file);
        }
    }

    /**
     * A program started under nohup ignores SIGHUP; without the line in the log an operator would
     * look for the fault in the configuration file.
     */
    @Test
    public void nodeThatCantReceiveSighupLogsIt() throws Exception {
        Path file = Files.createTempFile("embershift", ".json");
        Process node = null;
        try (ServerSocket discovery = listenOnLoopback()) {
            Files.writeString(file, configuration(9, discovery.getLocalPort()));
            ProcessBuilder builder = builder("serve", "--configuration", file.toString());
            List<String> command =
                    new ArrayList<>(List.of("bash", "-c", "trap '' HUP; exec \"$@\"", "bash"));
            command.addAll(builder.command());
            node = builder.command(command).start();
            BufferedReader log = reader(node.getInputStream());
            String lines = log.readLine() + log.readLine() + log.readLine();
            assertTrue(lines.contains("SIGHUP is ignored by whoever started this process"), lines);
        } finally {
            if (node != null) {
                node.destroyForcibly();
            }
            Files.delete(file);
        }
    }

    @Test
    public void configurationOfAnotherDeploymentIsRejectedCompletely() throws Exception {
        Path file = Files.createTempFile("embershift", ".json");
        Process node = null;
        try (ServerSocket ownDiscovery = listenOnLoopback();
                ServerSocket otherDiscovery = listenOnLoopback()) {
            String tiers = "\"tiers\":[\"lamps\"],\"areas\":[\"a\"],";
            Files.writeString(
                    file,
                    configuration(9, ownDiscovery.getLocalPort())
                            .replace("\"balancers\"", tiers + "\"balancers\""));
            node = startProgram("serve", "--configuration", file.toString());
            BufferedReader log = reader(node.getInputStream());
            log.readLine();
            log.readLine();
            Files.writeString(
                    file,
                    configuration(9, otherDiscovery.getLocalPort())
                            .replace(
                                    "\"balancers\"",
                                    tiers.replace("lamps", "gauges") + "\"balancers\""));
            signal("HUP", node);
            String line = log.readLine();
            assertTrue(
                    line.endsWith("stays in force: it is another deployment's, of [gauges] in [a]"),
                    line);
            signal("USR1", node);
            List<String> counters = new ArrayList<>();
            while (!counters.contains("configurations refused 1")) {
                counters.add(log.readLine());
            }
            otherDiscovery.setSoTimeout(300);
            org.testng.Assert.assertThrows(
                    java.net.SocketTimeoutException.class, otherDiscovery::accept);
        } finally {
            if (node != null) {
                node.destroyForcibly();
            }
            Files.delete(file);
        }
    }

    @Test
    public void selfTestOpensAndMovesTunnelsAndExits() throws Exception {
        Process process = startProgram("rehearse");
        List<String> lines = reader(process.getInputStream()).lines().toList();
        assertEquals(process.waitFor(), 0, lines.toString());
        assertTrue(
                lines.containsAll(
                        List.of("self-test passed: a node can run here", "tunnels opened 3")),
                lines.toString());
    }

    private static void signal(String name, Process to) throws IOException, InterruptedException {
        assertEquals(
                new ProcessBuilder("kill", "-" + name, String.valueOf(to.pid())).start().waitFor(),
                0);
    }

    @Test
    public void usageErrorsAreOneLineWithExitStatusTwo() throws Exception {
        for (String[] args :
                new String[][] {
                    {},
                    {"nonsense"},
                    {"serve", "--nonsense"},
                    {"serve"},
                    {"check", "--configuration", "/nowhere"}
                }) {
            Process process = startProgram(args);
            List<String> lines = reader(process.getInputStream()).lines().toList();
            assertEquals(lines.size(), 1, lines.toString());
            assertTrue(lines.get(0).startsWith("embershift: "));
            assertEquals(process.waitFor(), 2);
        }
    }
}
