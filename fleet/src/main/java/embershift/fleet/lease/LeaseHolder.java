package embershift.fleet.lease;

import embershift.fleet.store.CallResult;
import embershift.fleet.store.SessionId;
import embershift.fleet.store.StoreCommand;
import java.util.Optional;

/**
 * A candidate for a task's lease: acquires it when nobody holds it, renews it, and runs the steps
 * of the task's plan in order. Each step is recorded as intended before its effect and as done
 * after it, so that the next holder first completes an intended step, under the same step number,
 * before it begins another. A state machine without I/O, clock or threads; times are monotonic, in
 * seconds.
 */
public final class LeaseHolder {

    /** Outcome of the effect of a step. */
    public enum StepOutcome {
        /** All receivers accepted it. */
        DONE,
        /** A receiver knows a later fencing token. */
        STALE_TOKEN,
        /** It is unknown whether the effect took place. */
        UNKNOWN
    }

    /**
     * The actions that a candidate delegates to its owner. An implementation must not call back
     * into the candidate from within them.
     */
    public interface Environment {

        /**
         * Submits a command. {@link #commandCompleted} must follow, with an unknown result after a
         * timeout.
         */
        void submit(StoreCommand command);

        /**
         * Renews the session. {@link #sessionRenewed} or {@link #sessionEnded} follows, unless the
         * call is lost.
         */
        void renewSession(SessionId session, double sentAt);

        /**
         * Reads the task's progress. {@link #progressRead} follows; if the answer is lost, the read
         * is retried.
         */
        void readProgress(TaskId task);

        /** Runs a step under this fencing token. {@link #stepEnded} must follow, however late. */
        void runStep(TaskId task, TaskPlan plan, int step, FencingToken token);

        /** Reports a message to the operators. */
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

    /**
     * Number of times the lease was lost; reset once the lease has been held for {@link
     * LeaseSettings#maxBackoffSeconds}.
     */
    private int lossCount;

    private double acquireDelay;
    private boolean isShuttingDown;
    private boolean isHeldByAnother;

    /** Creates a candidate with this name. */
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

    /** Whether this candidate holds the lease or is releasing it. */
    public boolean isHeldOrReleasing() {
        return state.isHolding() || state == State.RELEASING;
    }

    /** Whether the longest step of the plan would end while the lease is held. */
    public boolean canCompleteStep(double now) {
        return state.isHolding() && lease.canComplete(now, plan.maxStepSeconds());
    }

    /** Returns the fencing token of the latest grant. */
    public FencingToken token() {
        return lease.token();
    }

    /** Whether the plan is completed or was given up. */
    public boolean isFinished() {
        return state == State.FINISHED;
    }

    /**
     * Performs the actions that are due. Must be called several times within {@link
     * LeaseSettings#retrySeconds}.
     */
    public void tick(double now) {
        renewSessionIfDue(now);
        if (state.isHolding() && now - lastProgressAt > settings.stuckSeconds()) {
            environment.notifyOperator(
                    task.name()
                            + " made no progress on this instance, at step "
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

    /** Resubmits under the same sequence number, so that the command is executed once. */
    private void resubmit() {
        if (inFlight != null) {
            nextActionAt = Double.POSITIVE_INFINITY;
            environment.submit(inFlight);
        }
    }

    /** Handles the result of a command; ignored if the command is no longer in flight. */
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

    /** Called when the task made progress; restarts the timeout after which it counts as stuck. */
    public void progressMade(double now) {
        lastProgressAt = now;
    }

    /**
     * Called with a token that a receiver or the store knows; if it is later than this candidate's,
     * the lease is lost.
     */
    public void tokenObserved(double now, FencingToken known) {
        if (state.isHolding() && known.compareTo(lease.token()) > 0) {
            leaseLost(now);
        }
    }

    /**
     * Sets by how much this candidate delays acquiring a free lease, so that leases spread over the
     * instances.
     */
    public void setAcquireDelay(double seconds) {
        acquireDelay = seconds;
    }

    /**
     * Sets whether another candidate is known to hold the lease. While one does, a request for the
     * lease would only add an entry to the store's log.
     */
    public void setHeldByAnother(double now, boolean isHeld) {
        if (isHeldByAnother && !isHeld) {
            nextActionAt = Math.max(nextActionAt, now + acquireDelay);
        }
        isHeldByAnother = isHeld;
    }

    /** Makes this candidate, as the wanted holder, acquire the lease as soon as nobody holds it. */
    public void acquireSoon(double now) {
        if (state == State.IDLE) {
            nextActionAt = Math.min(nextActionAt, now);
        }
    }

    /** Releases the lease, and acquires none while this candidate is shutting down. */
    public void setShuttingDown(double now, boolean shuttingDown) {
        isShuttingDown = shuttingDown;
        if (shuttingDown) {
            release(now);
        }
    }

    /** Called when the session was renewed at {@code now}, by a call sent at {@code sentAt}. */
    public void sessionRenewed(double now, double sentAt) {
        if (state.isHolding()) {
            // While the holder's session is open, nobody else can have been granted the lease.
            lease.renewed(sentAt);
        }
    }

    /** Called when the store no longer knows the session. */
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

    /** Called with the task's progress as stored, or empty if there is none. */
    public void progressRead(double now, Optional<String> text) {
        if (state != State.READING_PROGRESS) {
            return;
        }
        progress =
                text.flatMap(TaskProgress::decode).filter(read -> read.plan().equals(plan.name()));
        TaskProgress.State stepState = progress.map(TaskProgress::state).orElse(null);
        if (stepState == TaskProgress.State.POISONED) {
            finish(task.name() + " remains stopped at step " + progress.orElseThrow().step());
        } else if (stepState == TaskProgress.State.INTENDED) {
            resumeStep(now, progress.orElseThrow());
        } else {
            runNextStep(now);
        }
    }

    /** Retries a step that an earlier holder began and did not complete. */
    private void resumeStep(double now, TaskProgress recorded) {
        int attempts = recorded.attempts() + 1;
        if (attempts > settings.maxStepAttempts()) {
            environment.notifyOperator(
                    task.name()
                            + " stops: step "
                            + recorded.step()
                            + " was started by "
                            + recorded.attempts()
                            + " holders and not completed");
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

    /** Continues the plan from the known progress. */
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

    /** Releases the lease, so that another candidate can acquire it at once. */
    public void release(double now) {
        if (state.isHolding()) {
            state = State.RELEASING;
            lease.invalidate();
            submit(now, LeaseCommands.release(session, ++lastSequenceNumber, task, lease.token()));
        }
    }

    /** Handles the outcome of a step; outcomes of other than the current step are ignored. */
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
