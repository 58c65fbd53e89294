package embershift.program;

import java.io.PrintStream;
import java.util.Locale;

/** Lines for the operators, each with the seconds since the program's start. */
final class Log {

    private final PrintStream out;
    private final long start = System.nanoTime();

    Log(PrintStream out) {
        this.out = out;
    }

    synchronized void line(String text) {
        out.printf(Locale.ROOT, "%9.3f %s%n", (System.nanoTime() - start) / 1e9, text);
    }

    /** Several lines, as they are. */
    synchronized void lines(String text) {
        out.print(text);
        out.flush();
    }
}
