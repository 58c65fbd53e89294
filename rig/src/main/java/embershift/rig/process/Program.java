package embershift.rig.process;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * One process of a program, by its id: started, stopped, continued and ended. Its output goes to a
 * file that grows.
 */
public final class Program {

    private static final long LOOK_MS = 5;
    private static final long AWAIT_MS = 20;
    private static final long STOPS_NS = 2_000_000_000L;

    private final Process process;
    private final Path log;
    private final long logFrom;

    private Program(Process process, Path log, long logFrom) {
        this.process = process;
        this.log = log;
        this.logFrom = logFrom;
    }

    /** Starts a Java program by the class path given; {@code options} are the machine's. */
    public static Program java(
            String classPath,
            List<String> options,
            String main,
            List<String> args,
            Map<String, String> environment,
            Path log)
            throws IOException {
        List<String> line =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java")
                                        .toString()));
        line.addAll(options);
        line.addAll(List.of("-cp", classPath, main));
        line.addAll(args);
        return start(line, environment, log);
    }

    public static Program start(List<String> line, Map<String, String> environment, Path log)
            throws IOException {
        ProcessBuilder builder = new ProcessBuilder(line);
        builder.environment().remove("LB_CONFIG");
        builder.environment().putAll(environment);
        File file = log.toFile();
        long from = file.length();
        Process process =
                builder.redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(file))
                        .start();
        return new Program(process, log, from);
    }

    /** Ends it without a word. */
    public void kill() {
        process.destroyForcibly();
        await();
    }

    /** Asks it to end, as SIGTERM does. */
    public void terminate() {
        process.toHandle().destroy();
    }

    /** Until it has ended; returns its exit status. */
    public int await() {
        try {
            return process.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return -1;
        }
    }

    /** Whether it has ended within so many seconds, as {@link Patience} counts them. */
    public boolean awaitFor(double seconds) {
        Patience patience = new Patience(seconds);
        try {
            while (!process.waitFor(AWAIT_MS, TimeUnit.MILLISECONDS)) {
                if (patience.over()) {
                    return false;
                }
            }
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** It stands still from now on, with all its sockets. */
    public void stop() {
        signal("-STOP");
        Path stat = Path.of("/proc", String.valueOf(process.pid()), "stat");
        try {
            // On a busy machine it takes hold after kill has ended: until then the process still
            // goes on.
            for (long until = System.nanoTime() + STOPS_NS;
                    runs()
                            && System.nanoTime() < until
                            && !Files.readString(stat).matches("(?s).*\\) T .*"); ) {
                Thread.onSpinWait();
            }
        } catch (IOException e) {
            // It has ended meanwhile.
        }
    }

    /** It goes on, if it stood still. */
    public void goOn() {
        signal("-CONT");
    }

    private void signal(String which) {
        try {
            new ProcessBuilder("kill", which, String.valueOf(process.pid())).start().waitFor();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    public boolean runs() {
        return process.isAlive();
    }

    public long pid() {
        return process.pid();
    }

    /** What this process has written. */
    public String output() throws IOException {
        byte[] all = Files.readAllBytes(log);
        return new String(all, (int) logFrom, all.length - (int) logFrom, StandardCharsets.UTF_8);
    }

    /**
     * The first answer that is not null, as the output grows; fails where the process ends before,
     * or the seconds are over, as {@link Patience} counts them.
     */
    public <T> T await(Function<String, T> found, double seconds) throws IOException {
        Patience patience = new Patience(seconds);
        while (true) {
            boolean ended = !runs();
            T answer = found.apply(output());
            if (answer != null) {
                return answer;
            }
            if (ended || patience.over()) {
                throw new IOException((ended ? "it ended: " : "not in time: ") + output());
            }
            try {
                Thread.sleep(LOOK_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException(e);
            }
        }
    }
}
