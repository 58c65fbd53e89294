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

/** Single decisions of a lease holder that the simulated worlds do not play. */
public class LeaseHolderTest {

    /** Notes what it is asked for. */
    private static final class Recorder implements LeaseHolder.Environment {
        private final List<String> all = new ArrayList<>();
        private StoreCommand inFlight;

        @Override
        public void submit(StoreCommand command) {
            inFlight = command;
            all.add(
                    command instanceof StoreCommand.Transaction change
                                    && !change.mutations().isEmpty()
                            ? change.mutations().get(0).value().orElse("null")
                            : command.getClass().getSimpleName());
        }

        @Override
        public void renewSession(SessionId session, double sentAt) {}

        @Override
        public void readProgress(TaskId task) {
            all.add("read progress");
        }

        @Override
        public void runStep(TaskId task, TaskPlan plan, int step, FencingToken token) {
            all.add("run step " + step);
        }

        @Override
        public void notifyOperator(String message) {
            all.add(message);
        }
    }

    private static LeaseHolder holding(Recorder environment, LeaseSettings settings) {
        LeaseHolder holder =
                new LeaseHolder(
                        "o", new TaskId("d"), new TaskPlan("p", 2, 0.1), settings, environment);
        holder.tick(0);
        holder.commandCompleted(0, environment.inFlight, new CallResult.Done(7));
        holder.tick(0);
        holder.commandCompleted(0, environment.inFlight, new CallResult.Done(9));
        holder.tick(0);
        environment.all.clear();
        return holder;
    }

    @Test
    public void stepThatNoHolderEndsIsGivenUpAfterTheMostAttempts() {
        LeaseSettings settings = new LeaseSettings(5, 0.1, 10, 3, 10);
        Recorder environment = new Recorder();
        LeaseHolder third = holding(environment, settings);
        third.progressRead(0, Optional.of("p INTENDED 1 2"));
        assertEquals(environment.all, List.of("p INTENDED 1 3"));
        Recorder next = new Recorder();
        LeaseHolder fourth = holding(next, settings);
        fourth.progressRead(0, Optional.of("p INTENDED 1 3"));
        assertEquals(next.all.get(1), "p POISONED 1 3");
        fourth.commandCompleted(0, next.inFlight, new CallResult.Done(10));
        assertTrue(
                fourth.isFinished()
                        && next.all.stream().noneMatch(each -> each.startsWith("run step")),
                next.all.toString());
        Recorder last = new Recorder();
        LeaseHolder fifth = holding(last, settings);
        fifth.progressRead(0, Optional.of("p POISONED 1 3"));
        assertTrue(
                fifth.isFinished() && last.all.get(0).contains("stays stopped at step 1"),
                last.all.toString());
    }

    @Test
    public void holderWithoutProgressReleasesTheLeaseAndBacksOff() {
        Recorder environment = new Recorder();
        LeaseHolder holder = holding(environment, new LeaseSettings(100, 0.1, 10, 3, 10));
        holder.progressRead(0, Optional.of("p INTENDED 0 1"));
        holder.commandCompleted(0, environment.inFlight, new CallResult.Done(10));
        assertEquals(environment.all.get(1), "run step 0");
        holder.tick(11);
        assertTrue(
                environment.all.get(2).contains("gets nothing done"), environment.all.toString());
        assertTrue(!holder.isHeld(11));
        holder.commandCompleted(11, environment.inFlight, new CallResult.Done(11));
        int before = environment.all.size();
        holder.tick(11.1);
        assertEquals(environment.all.size(), before, "claims again at once");
        holder.tick(11.3);
        assertEquals(environment.all.size(), before + 1);
    }

    @Test
    public void stepThatAStaleTokenEndedIsNotRunAgain() {
        Recorder environment = new Recorder();
        LeaseHolder holder = holding(environment, LeaseSettings.DEFAULTS);
        holder.progressRead(0, Optional.empty());
        holder.commandCompleted(0, environment.inFlight, new CallResult.Done(10));
        holder.stepEnded(0.1, 0, new FencingToken(9), LeaseHolder.StepOutcome.STALE_TOKEN);
        assertTrue(!holder.isHeld(0.1));
        assertEquals(environment.all, List.of("p INTENDED 0 1", "run step 0"));
    }
}
