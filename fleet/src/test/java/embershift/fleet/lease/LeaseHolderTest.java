package embershift.fleet.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import embershift.fleet.store.CallResult;
import embershift.fleet.store.SessionId;
import embershift.fleet.store.StoreCommand;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/**
 * Decisions of a lease holder that the simulations in the rig module do not cover: giving up a
 * step, releasing without progress, stale tokens.
 */
public class LeaseHolderTest {

    /** Records the calls of the candidate. */
    private static final class Recorder implements LeaseHolder.Environment {
        private final List<String> calls = new ArrayList<>();
        private StoreCommand inFlight;

        @Override
        public void submit(StoreCommand command) {
            inFlight = command;
            calls.add(
                    command instanceof StoreCommand.Transaction transaction
                                    && !transaction.mutations().isEmpty()
                            ? transaction.mutations().get(0).value().orElse("null")
                            : command.getClass().getSimpleName());
        }

        @Override
        public void renewSession(SessionId session, double sentAt) {}

        @Override
        public void readProgress(TaskId task) {
            calls.add("read progress");
        }

        @Override
        public void runStep(TaskId task, TaskPlan plan, int step, FencingToken token) {
            calls.add("run step " + step);
        }

        @Override
        public void notifyOperator(String message) {
            calls.add(message);
        }
    }

    private static LeaseHolder createHolderOfLease(Recorder environment, LeaseSettings settings) {
        LeaseHolder holder =
                new LeaseHolder(
                        "o", new TaskId("d"), new TaskPlan("p", 2, 0.1), settings, environment);
        holder.tick(0);
        holder.commandCompleted(0, environment.inFlight, new CallResult.Done(7));
        holder.tick(0);
        holder.commandCompleted(0, environment.inFlight, new CallResult.Done(9));
        holder.tick(0);
        environment.calls.clear();
        return holder;
    }

    @Test
    public void stepThatNoHolderCompletesIsGivenUpAfterMaxAttempts() {
        LeaseSettings settings = new LeaseSettings(5, 0.1, 10, 3, 10);
        Recorder environment = new Recorder();
        LeaseHolder third = createHolderOfLease(environment, settings);
        third.progressRead(0, Optional.of("p INTENDED 1 2"));
        assertEquals(environment.calls, List.of("p INTENDED 1 3"));
        Recorder fourthEnvironment = new Recorder();
        LeaseHolder fourth = createHolderOfLease(fourthEnvironment, settings);
        fourth.progressRead(0, Optional.of("p INTENDED 1 3"));
        assertEquals(fourthEnvironment.calls.get(1), "p POISONED 1 3");
        fourth.commandCompleted(0, fourthEnvironment.inFlight, new CallResult.Done(10));
        assertTrue(
                fourth.isFinished()
                        && fourthEnvironment.calls.stream()
                                .noneMatch(each -> each.startsWith("run step")),
                fourthEnvironment.calls.toString());
        Recorder fifthEnvironment = new Recorder();
        LeaseHolder fifth = createHolderOfLease(fifthEnvironment, settings);
        fifth.progressRead(0, Optional.of("p POISONED 1 3"));
        assertTrue(
                fifth.isFinished()
                        && fifthEnvironment.calls.get(0).contains("remains stopped at step 1"),
                fifthEnvironment.calls.toString());
    }

    @Test
    public void holderWithoutProgressReleasesLeaseAndBacksOff() {
        Recorder environment = new Recorder();
        LeaseHolder holder =
                createHolderOfLease(environment, new LeaseSettings(100, 0.1, 10, 3, 10));
        holder.progressRead(0, Optional.of("p INTENDED 0 1"));
        holder.commandCompleted(0, environment.inFlight, new CallResult.Done(10));
        assertEquals(environment.calls.get(1), "run step 0");
        holder.tick(11);
        assertTrue(
                environment.calls.get(2).contains("made no progress"),
                environment.calls.toString());
        assertTrue(!holder.isHeld(11));
        holder.commandCompleted(11, environment.inFlight, new CallResult.Done(11));
        int before = environment.calls.size();
        holder.tick(11.1);
        assertEquals(
                environment.calls.size(), before, "acquires the lease again without backing off");
        holder.tick(11.3);
        assertEquals(environment.calls.size(), before + 1);
    }

    @Test
    public void stepRejectedForStaleTokenIsNotRunAgain() {
        Recorder environment = new Recorder();
        LeaseHolder holder = createHolderOfLease(environment, LeaseSettings.DEFAULTS);
        holder.progressRead(0, Optional.empty());
        holder.commandCompleted(0, environment.inFlight, new CallResult.Done(10));
        holder.stepEnded(0.1, 0, new FencingToken(9), LeaseHolder.StepOutcome.STALE_TOKEN);
        assertTrue(!holder.isHeld(0.1));
        assertEquals(environment.calls, List.of("p INTENDED 0 1", "run step 0"));
    }
}
