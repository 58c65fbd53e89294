package embershift.fleet.lease;

import embershift.fleet.store.CallResult;
import embershift.fleet.store.SessionId;
import embershift.fleet.store.StoreCommand;
import java.util.Optional;

/**
 * A candidate for a task's lease: acquires it when nobody holds it, renews it, and does the steps
 * of the task's plan in order. Each step is recorded as intended before its effect and as done
 * after it: whoever takes over finishes what was intended, under the same step, before the next. A
 * state machine without I/O, clock or threads; times in seconds, never decreasing.
 */
public final class LeaseHolder {

    /** How the effect of a step ended. */
    public enum StepOutcome {
        /** All receivers took it. */
        DONE,
        /** A receiver knows a later fencing token. */
        STALE_TOKEN,
        /** Nobody can tell. */
        UNKNOWN
    }

    /** What a candidate needs done for it. It must not call back from within. */
    public interface Environment {

        /** Submits a command; {@link #commandCompleted} is owed, as unknown after some time. */
        void submit(StoreCommand command);

        /**
         * Renews the session; {@link #sessionRenewed} or {@link #sessionEnded} follows, or nothing.
         */
        void renewSession(SessionId session, double sentAt);

        /**
         * Reads the task's progress; {@link #progressRead} follows, or nothing and a further try.
         */
        void readProgress(TaskId task);

        /** Does a step, by this fencing token; {@link #stepEnded} is owed, however late. */
        void runStep(TaskId task, TaskPlan plan, int step, FencingToken token);

        /** Tells an operator something. */
        void notifyOperator(String message);
    }

    private enum State {
        WITHOUT_SESSION,
        OPENING_SESSION,
        IDLE,
        ACQUIRING,
        READING_PROGRESS,
        RECORDING_PROGRESS,
        RUNNING_STEP,
        WAITING_TO_RETRY,
        CONTINUOUS,
        RELEASING,
        FINISHED;

        boolean isHolding() {
            return this == READING_PROGRESS
                    || this == RECORDING_PROGRESS
                    || this == RUNNING_STEP
                    || this == WAITING_TO_RETRY
                    || this == CONTINUOUS;
        }
    }

    private static final int MAX_BACKOFF_DOUBLINGS = 20;

    private final String name;
    private final TaskId task;
    private final TaskPlan plan;
    private final LeaseSettings settings;
    private final Environment environment;
    private final Lease lease;
    private State state = State.WITHOUT_SESSION;
    private SessionId session = SessionId.NONE;
    private long lastSequenceNumber;

    /** The command in flight, or null. */
    private StoreCommand inFlight;

    /** When the command in flight was first submitted. */
    private double submittedAt;

    private double nextActionAt = Double.NEGATIVE_INFINITY;
    private double renewalSentAt = Double.NEGATIVE_INFINITY;
    private Optional<TaskProgress> progress = Optional.empty();

    /** The progress that the command in flight records. */
    private TaskProgress recording;

    private double lastProgressAt;
    private double acquiredAt;

    /** How often the lease was lost; forgotten once it has been held for long. */
    private int lossCount;

    private double acquireDelay;
    private boolean isShuttingDown;
    private boolean isHeldByAnother;

    /** Creates a candidate of that name. */
    public LeaseHolder(
            String name,
            TaskId task,
            TaskPlan plan,
            LeaseSettings settings,
            Environment environment) {
        this.name = name;
        this.task = task;
        this.plan = plan;
        this.settings = settings;
        this.environment = environment;
        lease = new Lease(settings.sessionSeconds());
    }

    /** Whether this candidate holds the lease and may act. */
    public boolean isHeld(double now) {
        return state.isHolding() && lease.isHeld(now);
    }

    /** Whether it has the lease, or is about to release it. */
    public boolean isHeldOrReleasing() {
        return state.isHolding() || state == State.RELEASING;
    }

    /**
     * Whether an effect that takes as long as any of the plan would end while the lease is held.
     */
    public boolean canCompleteStep(double now) {
        return state.isHolding() && lease.canComplete(now, plan.maxStepSeconds());
    }

    /** Returns the fencing token of the latest grant. */
    public FencingToken token() {
        return lease.token();
    }

    /** Whether there is nothing more to do: the plan is done or given up. */
    public boolean isFinished() {
        return state == State.FINISHED;
    }

    /** Time has passed. To be called several times within {@link LeaseSettings#retrySeconds}. */
    public void tick(double now) {
        renewSessionIfDue(now);
        if (state.isHolding() && now - lastProgressAt > settings.stuckSeconds()) {
            environment.notifyOperator(
                    task.name()
                            + " gets nothing done here, at step "
                            + progress.map(TaskProgress::step).orElse(0));
            lossCount++;
            release(now);
            return;
        }
        if (state.isHolding() && now - acquiredAt > settings.maxBackoffSeconds()) {
            lossCount = 0;
        }
        if (now >= nextActionAt) {
            performDueAction(now);
        }
    }

    private void renewSessionIfDue(double now) {
        boolean hasSession = !session.equals(SessionId.NONE) && state != State.FINISHED;
        boolean mayRenew = now - renewalSentAt >= settings.sessionSeconds() / 3;
        if (hasSession && mayRenew && (lease.isRenewalDue(now) || !lease.isHeld(now))) {
            renewalSentAt = now;
            environment.renewSession(session, now);
        }
    }

    private void performDueAction(double now) {
        switch (state) {
            case WITHOUT_SESSION -> {
                state = State.OPENING_SESSION;
                submit(now, new StoreCommand.OpenSession(name, settings.sessionSeconds()));
            }
            case IDLE -> {
                if (!isShuttingDown && !isHeldByAnother) {
                    state = State.ACQUIRING;
                    submit(now, LeaseCommands.acquire(session, ++lastSequenceNumber, task, name));
                }
            }
            case READING_PROGRESS -> {
                nextActionAt = now + 5 * settings.retrySeconds();
                environment.readProgress(task);
            }
            case WAITING_TO_RETRY -> runNextStep(now);
            case OPENING_SESSION, ACQUIRING, RECORDING_PROGRESS, RELEASING -> resubmit();
            default -> {
                // Nothing is due.
            }
        }
    }

    private void submit(double now, StoreCommand command) {
        inFlight = command;
        submittedAt = now;
        nextActionAt = Double.POSITIVE_INFINITY;
        environment.submit(command);
    }

    /** Under the same number, so that it is executed once. */
    private void resubmit() {
        if (inFlight != null) {
            nextActionAt = Double.POSITIVE_INFINITY;
            environment.submit(inFlight);
        }
    }

    /** A command was completed; one that is not in flight any more is ignored. */
    public void commandCompleted(double now, StoreCommand command, CallResult result) {
        if (command != inFlight) {
            return;
        }
        if (result instanceof CallResult.Done done) {
            inFlight = null;
            commandDone(now, done.number());
        } else if (result instanceof CallResult.Rejected rejected) {
            commandRejected(now, rejected.reason());
        } else {
            nextActionAt = now + settings.retrySeconds();
        }
    }

    private void commandRejected(double now, CallResult.Reason reason) {
        switch (reason) {
            case PRECONDITION_FAILED -> {
                inFlight = null;
                preconditionFailed(now);
            }
            case UNKNOWN_SESSION, RESULT_FORGOTTEN -> sessionEnded(now);
            default -> nextActionAt = now + settings.retrySeconds();
        }
    }

    private void commandDone(double now, long number) {
        switch (state) {
            case OPENING_SESSION -> {
                session = new SessionId(number);
                lastSequenceNumber = 0;
                renewalSentAt = now;
                becomeIdle(now, acquireDelay);
            }
            case ACQUIRING -> acquired(now, new FencingToken(number));
            case RECORDING_PROGRESS -> {
                progress = Optional.of(recording);
                lastProgressAt = now;
                runNextStep(now);
            }
            case RELEASING -> becomeIdle(now, backoff());
            default -> {
                // No command is in flight in other states.
            }
        }
    }

    private void acquired(double now, FencingToken token) {
        lease.acquired(token, submittedAt);
        renewalSentAt = Double.NEGATIVE_INFINITY;
        lastProgressAt = now;
        acquiredAt = now;
        progress = Optional.empty();
        state = plan.isContinuous() ? State.CONTINUOUS : State.READING_PROGRESS;
        nextActionAt = now;
        if (isShuttingDown) {
            release(now);
        } else if (plan.isContinuous()) {
            environment.runStep(task, plan, 0, lease.token());
        }
    }

    private void preconditionFailed(double now) {
        switch (state) {
            case ACQUIRING -> becomeIdle(now, settings.retrySeconds() + acquireDelay);
            case RECORDING_PROGRESS, RELEASING -> leaseLost(now);
            default -> {
                // Other commands have no precondition.
            }
        }
    }

    private void becomeIdle(double now, double delay) {
        lease.invalidate();
        state = State.IDLE;
        nextActionAt = now + delay;
    }

    private void leaseLost(double now) {
        lossCount++;
        becomeIdle(now, backoff());
    }

    private double backoff() {
        double doublings = Math.pow(2, Math.min(lossCount, MAX_BACKOFF_DOUBLINGS));
        return Math.min(settings.maxBackoffSeconds(), settings.retrySeconds() * doublings);
    }

    /** The task has made progress: it is not stuck. */
    public void progressMade(double now) {
        lastProgressAt = now;
    }

    /** A receiver or the store knows a token: if it is later than this one's, the lease is lost. */
    public void tokenObserved(double now, FencingToken known) {
        if (state.isHolding() && known.compareTo(lease.token()) > 0) {
            leaseLost(now);
        }
    }

    /** How much slower than others this candidate acquires: so leases spread over instances. */
    public void setAcquireDelay(double seconds) {
        acquireDelay = seconds;
    }

    /**
     * Whether another is known to hold the lease: then asking would only cost the store an entry.
     */
    public void setHeldByAnother(double now, boolean isHeld) {
        if (isHeldByAnother && !isHeld) {
            nextActionAt = Math.max(nextActionAt, now + acquireDelay);
        }
        isHeldByAnother = isHeld;
    }

    /** This candidate is wanted as the holder: it acquires the lease as soon as nobody holds it. */
    public void acquireSoon(double now) {
        if (state == State.IDLE) {
            nextActionAt = Math.min(nextActionAt, now);
        }
    }

    /** Releases the lease, and acquires none while it is leaving. */
    public void setShuttingDown(double now, boolean shuttingDown) {
        isShuttingDown = shuttingDown;
        if (shuttingDown) {
            release(now);
        }
    }

    /** The session was renewed at {@code now}, by a call that was sent at {@code sentAt}. */
    public void sessionRenewed(double now, double sentAt) {
        if (state.isHolding()) {
            // Nobody else can have been granted the lease while its holder's session stands.
            lease.renewed(sentAt);
        }
    }

    /** The store does not know the session any more. */
    public void sessionEnded(double now) {
        if (state.isHolding()) {
            lossCount++;
        }
        lease.invalidate();
        session = SessionId.NONE;
        inFlight = null;
        if (state != State.FINISHED) {
            state = State.WITHOUT_SESSION;
            nextActionAt = now + backoff();
        }
    }

    /** The store's record of the task's progress was read; empty where there is none. */
    public void progressRead(double now, Optional<String> text) {
        if (state != State.READING_PROGRESS) {
            return;
        }
        progress =
                text.flatMap(TaskProgress::decode).filter(read -> read.plan().equals(plan.name()));
        TaskProgress.State stepState = progress.map(TaskProgress::state).orElse(null);
        if (stepState == TaskProgress.State.POISONED) {
            finish(task.name() + " stays stopped at step " + progress.orElseThrow().step());
        } else if (stepState == TaskProgress.State.INTENDED) {
            resumeStep(now, progress.orElseThrow());
        } else {
            runNextStep(now);
        }
    }

    /** A holder before this one has begun a step and not ended it. */
    private void resumeStep(double now, TaskProgress recorded) {
        int attempts = recorded.attempts() + 1;
        if (attempts > settings.maxStepAttempts()) {
            environment.notifyOperator(
                    task.name()
                            + " stops: step "
                            + recorded.step()
                            + " was begun by "
                            + recorded.attempts()
                            + " owners and not ended");
            recordProgress(now, TaskProgress.State.POISONED, recorded.step(), recorded.attempts());
        } else {
            recordProgress(now, TaskProgress.State.INTENDED, recorded.step(), attempts);
        }
    }

    private void recordProgress(double now, TaskProgress.State stepState, int step, int attempts) {
        state = State.RECORDING_PROGRESS;
        recording = new TaskProgress(plan.name(), stepState, step, attempts);
        submit(
                now,
                LeaseCommands.recordProgress(
                        session, ++lastSequenceNumber, task, lease.token(), recording.encode()));
    }

    /** Goes on from where progress is known to be. */
    private void runNextStep(double now) {
        TaskProgress.State stepState = progress.map(TaskProgress::state).orElse(null);
        if (stepState == TaskProgress.State.POISONED) {
            finish(task.name() + " is stopped at step " + progress.orElseThrow().step());
        } else if (stepState == TaskProgress.State.INTENDED) {
            runStep(now, progress.orElseThrow().step());
        } else {
            int nextStep = progress.map(done -> done.step() + 1).orElse(0);
            if (nextStep >= plan.steps()) {
                finish(task.name() + " is done");
            } else {
                recordProgress(now, TaskProgress.State.INTENDED, nextStep, 1);
            }
        }
    }

    private void runStep(double now, int step) {
        if (lease.canComplete(now, plan.maxStepSeconds())) {
            state = State.RUNNING_STEP;
            nextActionAt = Double.POSITIVE_INFINITY;
            environment.runStep(task, plan, step, lease.token());
        } else {
            waitToRetry(now);
        }
    }

    private void waitToRetry(double now) {
        state = State.WAITING_TO_RETRY;
        nextActionAt = now + settings.retrySeconds();
    }

    private void finish(String message) {
        environment.notifyOperator(message);
        environment.submit(
                LeaseCommands.release(session, ++lastSequenceNumber, task, lease.token()));
        lease.invalidate();
        inFlight = null;
        state = State.FINISHED;
    }

    /** Releases the lease: another may acquire it at once. */
    public void release(double now) {
        if (state.isHolding()) {
            state = State.RELEASING;
            lease.invalidate();
            submit(now, LeaseCommands.release(session, ++lastSequenceNumber, task, lease.token()));
        }
    }

    /** The effect of a step has ended; of any but the current one that is ignored. */
    public void stepEnded(double now, int step, FencingToken token, StepOutcome outcome) {
        boolean isCurrent =
                state == State.RUNNING_STEP
                        && progress.filter(each -> each.step() == step).isPresent()
                        && token.equals(lease.token());
        if (!isCurrent) {
            return;
        }
        switch (outcome) {
            case DONE ->
                    recordProgress(
                            now, TaskProgress.State.DONE, step, progress.orElseThrow().attempts());
            case STALE_TOKEN -> leaseLost(now);
            case UNKNOWN -> waitToRetry(now);
        }
    }
}
