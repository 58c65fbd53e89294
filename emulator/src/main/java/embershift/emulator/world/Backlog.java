package embershift.emulator.world;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Work before a server that does it in the order of its coming: a steady inflow as a fluid, and
 * jobs in between (the fluid queue of Kleinrock, Queueing Systems vol. 2, section 2.7). Rates hold
 * until they are changed, so the end of a job is known exactly. The clients of the fluid wait for
 * their answers: over {@code most} they send no more.
 */
public final class Backlog {

    /** A job, done when all that came before it and its own work are done. */
    private record Job(double doneAt, Runnable done) {}

    private static final double ROUNDING = 1e-9;

    private final Agenda agenda;
    private final double most;
    private final Deque<Job> jobs = new ArrayDeque<>();
    private double capacity;
    private double inflow;

    /** Work that waits, and all that was ever done while some did. */
    private double waiting;

    private double done;
    private double at;
    private int plan;

    /** {@code most}: work that waits at the most before the fluid is held back. */
    public Backlog(Agenda agenda, double most) {
        this.agenda = agenda;
        this.most = most;
    }

    private void advance() {
        double now = agenda.now();
        double passed = now - at;
        at = now;
        if (passed <= 0) {
            return;
        }
        double before = waiting;
        double can = capacity * passed;
        done += Math.min(can, before + inflow * passed);
        waiting = Math.max(0, before + inflow * passed - can);
        if (waiting > before && waiting > most) {
            waiting = Math.max(before, most);
        }
    }

    /** Work of so much a second from now on, and as much done in a second at the most. */
    public void rates(double inflow, double capacity) {
        if (inflow != this.inflow || capacity != this.capacity) {
            advance();
            this.inflow = Math.max(0, inflow);
            this.capacity = capacity;
            plan();
        }
    }

    public void job(double work, Runnable whenDone) {
        advance();
        waiting += work;
        jobs.add(new Job(done + waiting, whenDone));
        if (jobs.size() == 1) {
            plan();
        }
    }

    /** Work that waits now. */
    public double waiting() {
        advance();
        return waiting;
    }

    public int jobs() {
        return jobs.size();
    }

    /** All that waits is gone, and never ends. */
    void clear() {
        advance();
        waiting = 0;
        jobs.clear();
        plan++;
    }

    private void plan() {
        int number = ++plan;
        if (!jobs.isEmpty() && capacity > 0) {
            agenda.in(
                    (jobs.peek().doneAt - done) / capacity,
                    () -> {
                        if (number == plan) {
                            end();
                        }
                    });
        }
    }

    private void end() {
        advance();
        while (!jobs.isEmpty() && jobs.peek().doneAt <= done + ROUNDING) {
            jobs.remove().done.run();
        }
        plan();
    }
}
