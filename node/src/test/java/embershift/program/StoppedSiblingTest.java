package embershift.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Two processes at one address, one of which stands still: the other owes its operators answers all
 * the same.
 */
public class StoppedSiblingTest {

    /** What an operator waits for an answer, and for all else. */
    private static final int OWED_MS = 1500;

    private static final int PATIENCE_MS = 15_000;
    private static final int STOPS = 25;

    private Path folder;
    private ServerSocket host;
    private final List<Process> processes = new ArrayList<>();
    private final int[] management = new int[2];

    @BeforeMethod
    public void begin() throws Exception {
        folder = Files.createTempDirectory("embershift");
        host = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        int port = ReplaceTest.freePort();
        for (int i = 0; i < 2; i++) {
            management[i] = ReplaceTest.freePort();
            Path file = folder.resolve("configuration-" + i);
            Files.writeString(
                    file,
                    ServeTest.configuration(host.getLocalPort(), 9)
                            .replace("127.0.0.1:0", "127.0.0.1:" + port));
            ProcessBuilder builder = ServeTest.builder("serve", "--configuration", file.toString());
            builder.environment().put("LB_MANAGEMENT", "127.0.0.1:" + management[i]);
            builder.environment().put("TMPDIR", folder.toString());
            processes.add(builder.redirectOutput(folder.resolve("log-" + i).toFile()).start());
            await(i, "GET /api/ready", "{\"ready\":true}");
        }
    }

    @AfterMethod
    public void end() throws Exception {
        for (Process process : processes) {
            process.destroyForcibly().waitFor();
        }
        processes.clear();
        host.close();
        for (File file : folder.toFile().listFiles()) {
            Files.delete(file.toPath());
        }
        Files.delete(folder);
    }

    private static Socket say(int management, String line) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), management);
        socket.getOutputStream()
                .write((line + " HTTP/1.1\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    /**
     * The answer's text; null where none came in the time that is owed: what became of the call is
     * then unknown.
     */
    private String call(int process, String line) throws IOException {
        try (Socket socket = say(management[process], line)) {
            socket.setSoTimeout(OWED_MS);
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        } catch (SocketTimeoutException e) {
            return null;
        }
    }

    private void await(int process, String line, String part) throws Exception {
        long until = System.nanoTime() + PATIENCE_MS * 1_000_000L;
        String last = "";
        while (last == null || !last.contains(part)) {
            assertTrue(
                    System.nanoTime() < until,
                    line + ": " + last + Files.readString(folder.resolve("log-" + process)));
            try {
                last = call(process, line);
            } catch (IOException e) {
                last = e.toString();
            }
        }
    }

    private void signal(int process, String which) throws Exception {
        long pid = processes.get(process).pid();
        assertEquals(new ProcessBuilder("kill", which, String.valueOf(pid)).start().waitFor(), 0);
        // On a busy machine a stop takes hold after kill has ended: until then the process still
        // answers.
        while (which.equals("-STOP")
                && !Files.readString(Path.of("/proc", String.valueOf(pid), "stat"))
                        .matches("(?s).*\\) T .*")) {
            Thread.onSpinWait();
        }
    }

    /** Calls of both kinds, one after the other, as fast as they are answered. */
    private Thread hammer(int process, boolean[] going) {
        Thread thread =
                new Thread(
                        () -> {
                            for (int i = 0; going[0]; i++) {
                                try {
                                    call(
                                            process,
                                            "POST /api/"
                                                    + (i % 2 == 0 ? "exclude" : "include")
                                                    + "/s");
                                } catch (IOException e) {
                                    // Its process is stopped.
                                }
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    @Test
    public void processThatRunsAnswersInTimeWhereverTheOtherWasStopped() throws Exception {
        Random random = new Random(7);
        int late = 0;
        for (int i = 0; i < STOPS; i++) {
            int stopped = i % 2;
            boolean[] going = {true};
            Thread one = hammer(0, going);
            Thread other = hammer(1, going);
            TimeUnit.MICROSECONDS.sleep(50_000 + random.nextInt(50_000));
            signal(stopped, "-STOP");
            going[0] = false;
            (stopped == 0 ? other : one).join();
            String answer = call(1 - stopped, "POST /api/exclude/s");
            if (answer == null || !answer.contains("\"out\":true,\"kept\":true")) {
                late++;
            }
            signal(stopped, "-CONT");
            one.join();
            other.join();
        }
        assertEquals(late, 0, "answers not given while the other process stood still, of " + STOPS);
    }

    @Test
    public void callThatWaitedInAStoppedProcessUndoesNothingThatWasAnsweredSince()
            throws Exception {
        signal(1, "-STOP");
        Socket givenUp = say(management[1], "POST /api/exclude/s");
        TimeUnit.MILLISECONDS.sleep(OWED_MS);
        givenUp.close();
        assertTrue(
                String.valueOf(call(0, "POST /api/include/s"))
                        .contains("\"out\":false,\"kept\":true"));
        signal(1, "-CONT");
        await(1, "GET /api/ready", "{\"ready\":true}");
        // Longer than the processes take to go by what each other was told.
        for (long until = System.nanoTime() + 1_000_000_000L; System.nanoTime() < until; ) {
            for (int process = 0; process < 2; process++) {
                String figures = String.valueOf(call(process, "GET /api/telemetry"));
                assertTrue(figures.contains("\"out_of_rotation\":0"), process + figures);
            }
        }
    }

    @Test
    public void callerWhoStillWaitsAtAProcessThatStoodStillIsToldToCallAgain() throws Exception {
        signal(1, "-STOP");
        try (Socket waiting = say(management[1], "POST /api/exclude/s")) {
            waiting.setSoTimeout(PATIENCE_MS);
            TimeUnit.MILLISECONDS.sleep(OWED_MS);
            signal(1, "-CONT");
            String answer =
                    new String(waiting.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
        }
        await(1, "POST /api/exclude/s", "\"out\":true,\"kept\":true");
    }
}
