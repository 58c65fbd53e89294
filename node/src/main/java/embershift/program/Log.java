package embershift.program;

import java.io.PrintStream;
import java.util.Locale;

/** The log for operators; each line begins with the seconds since the log was created. */
final class Log {

    private final PrintStream out;
    private final long start = System.nanoTime();

    Log(PrintStream out) {
        this.out = out;
    }

    synchronized void line(String text) {
        out.printf(Locale.ROOT, "%9.3f %s%n", (System.nanoTime() - start) / 1e9, text);
    }

    /** Writes several lines as they are, without a time. */
    synchronized void lines(String text) {
        out.print(text);
        out.flush();
    }
}
