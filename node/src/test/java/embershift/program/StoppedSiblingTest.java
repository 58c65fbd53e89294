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
 * Two processes serve at one address and one of them is stopped: the other must still answer its
 * operators in time.
 */
public class StoppedSiblingTest {

    /** How long an operator waits for an answer. */
    private static final int ANSWER_DEADLINE_MS = 1500;

    /** How long the test waits for anything else. */
    private static final int TIMEOUT_MS = 15_000;

    private static final int STOPS = 25;

    private Path folder;
    private ServerSocket host;
    private final List<Process> processes = new ArrayList<>();
    private final int[] management = new int[2];

    @BeforeMethod
    public void startProcesses() throws Exception {
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
            awaitAnswer(i, "GET /api/ready", "{\"ready\":true}");
        }
    }

    @AfterMethod
    public void stopProcesses() throws Exception {
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

    private static Socket send(int management, String request) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), management);
        socket.getOutputStream()
                .write((request + " HTTP/1.1\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    /**
     * Sends a request; returns the answer, or null where none came in time, so that the outcome is
     * unknown.
     */
    private String call(int process, String request) throws IOException {
        try (Socket socket = send(management[process], request)) {
            socket.setSoTimeout(ANSWER_DEADLINE_MS);
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        } catch (SocketTimeoutException e) {
            return null;
        }
    }

    private void awaitAnswer(int process, String request, String expected) throws Exception {
        long deadline = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
        String answer = "";
        while (answer == null || !answer.contains(expected)) {
            assertTrue(
                    System.nanoTime() < deadline,
                    request + ": " + answer + Files.readString(folder.resolve("log-" + process)));
            try {
                answer = call(process, request);
            } catch (IOException e) {
                answer = e.toString();
            }
        }
    }

    private void signal(int process, String which) throws Exception {
        long pid = processes.get(process).pid();
        assertEquals(new ProcessBuilder("kill", which, String.valueOf(pid)).start().waitFor(), 0);
        // On a busy machine a stop takes effect only after kill has exited; until then the process
        // still answers.
        while (which.equals("-STOP")
                && !Files.readString(Path.of("/proc", String.valueOf(pid), "stat"))
                        .matches("(?s).*\\) T .*")) {
            Thread.onSpinWait();
        }
    }

    /** Sends exclude and include requests in turn, each as soon as the one before is answered. */
    private Thread sendRequestsContinuously(int process, boolean[] isRunning) {
        Thread thread =
                new Thread(
                        () -> {
                            for (int i = 0; isRunning[0]; i++) {
                                try {
                                    call(
                                            process,
                                            "POST /api/"
                                                    + (i % 2 == 0 ? "exclude" : "include")
                                                    + "/s");
                                } catch (IOException e) {
                                    // The process is stopped.
                                }
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    @Test
    public void runningProcessAnswersInTimeWhereverTheOtherWasStopped() throws Exception {
        Random random = new Random(7);
        int late = 0;
        for (int i = 0; i < STOPS; i++) {
            int stopped = i % 2;
            boolean[] isRunning = {true};
            Thread first = sendRequestsContinuously(0, isRunning);
            Thread second = sendRequestsContinuously(1, isRunning);
            TimeUnit.MICROSECONDS.sleep(50_000 + random.nextInt(50_000));
            signal(stopped, "-STOP");
            isRunning[0] = false;
            (stopped == 0 ? second : first).join();
            String answer = call(1 - stopped, "POST /api/exclude/s");
            if (answer == null || !answer.contains("\"out\":true,\"kept\":true")) {
                late++;
            }
            signal(stopped, "-CONT");
            first.join();
            second.join();
        }
        assertEquals(late, 0, "answers not given while the other process was stopped, of " + STOPS);
    }

    @Test
    public void requestThatWaitedInAStoppedProcessUndoesNoLaterChange() throws Exception {
        signal(1, "-STOP");
        Socket abandoned = send(management[1], "POST /api/exclude/s");
        TimeUnit.MILLISECONDS.sleep(ANSWER_DEADLINE_MS);
        abandoned.close();
        assertTrue(
                String.valueOf(call(0, "POST /api/include/s"))
                        .contains("\"out\":false,\"kept\":true"));
        signal(1, "-CONT");
        awaitAnswer(1, "GET /api/ready", "{\"ready\":true}");
        // Longer than the processes take to apply each other's changes.
        for (long deadline = System.nanoTime() + 1_000_000_000L; System.nanoTime() < deadline; ) {
            for (int process = 0; process < 2; process++) {
                String telemetry = String.valueOf(call(process, "GET /api/telemetry"));
                assertTrue(telemetry.contains("\"out_of_rotation\":0"), process + telemetry);
            }
        }
    }

    @Test
    public void callerThatStillWaitsAtAStalledProcessIsToldToRetry() throws Exception {
        signal(1, "-STOP");
        try (Socket waiting = send(management[1], "POST /api/exclude/s")) {
            waiting.setSoTimeout(TIMEOUT_MS);
            TimeUnit.MILLISECONDS.sleep(ANSWER_DEADLINE_MS);
            signal(1, "-CONT");
            String answer =
                    new String(waiting.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
        }
        awaitAnswer(1, "POST /api/exclude/s", "\"out\":true,\"kept\":true");
    }
}
