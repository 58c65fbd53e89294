package embershift.rig.world;

import embershift.fleet.lease.FencingGuard;
import embershift.fleet.lease.FencingToken;
import embershift.fleet.lease.LeaseHolder;
import embershift.fleet.lease.LeaseSettings;
import embershift.fleet.lease.TaskId;
import embershift.fleet.lease.TaskPlan;
import embershift.fleet.store.CallResult;
import embershift.fleet.store.CommandResult;
import embershift.fleet.store.KeyValue;
import embershift.fleet.store.KeyValueStore;
import embershift.fleet.store.SessionId;
import embershift.fleet.store.StoreCommand;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Owners of one duty, an agreed record that is seldom away, and receivers, in virtual time: owners
 * are stopped and go on, end and start anew; calls and orders are late, lost, and read long after;
 * clocks run apart. Judged by what receivers took.
 */
public final class DutyWorld extends SeededWorld {

    private static final TaskId DUTY = new TaskId("work");
    private static final int OWNERS = 3;
    private static final int RECEIVERS = 2;
    private static final double FAULTS = 40;
    private static final double END = 160;
    private static final double CALL = 1;
    private static final double ACT = 0.4;
    private static final double LOOK = 0.05;

    private final TaskPlan plan;
    private final LeaseSettings terms = new LeaseSettings(2, 0.1, 15, 1000, 4);
    private final KeyValueStore record = new KeyValueStore();
    private final Map<SessionId, Double> ends = new HashMap<>();
    private final List<Station> stations = new ArrayList<>();
    private final List<Receiver> receivers = new ArrayList<>();
    private final boolean clocksStray;
    private double recordAway;
    private long places;
    private int firstNotBegun;

    private DutyWorld(long seed) {
        super(seed, FAULTS);
        clocksStray = chance.nextInt(3) == 0;
        plan = new TaskPlan("p", 3 + chance.nextInt(8), ACT);
    }

    public static Report play(long seed) {
        return new DutyWorld(seed).play();
    }

    /** The first broken world among the seeds, or null. */
    public static String firstBroken(long first, long many) {
        return firstBroken(DutyWorld::play, first, many);
    }

    /** Mostly soon; now and then long after. */
    private double late() {
        return chance.nextInt(20) == 0 && faults()
                ? 6 * chance.nextDouble()
                : 0.002 + 0.02 * chance.nextDouble();
    }

    private boolean lost() {
        return faults() && chance.nextInt(25) == 0;
    }

    // The record.

    private void command(StoreCommand command, Consumer<CallResult> answer) {
        if (lost()) {
            return;
        }
        time.in(
                late(),
                () ->
                        whenHere(
                                () -> {
                                    CommandResult result = record.apply(++places, command);
                                    if (command instanceof StoreCommand.OpenSession
                                            && result instanceof CommandResult.Done opened) {
                                        renew(new SessionId(opened.number()));
                                    } else if (command instanceof StoreCommand.Transaction change) {
                                        renew(change.session());
                                    }
                                    if (!lost()) {
                                        time.in(late(), () -> answer.accept(CallResult.of(result)));
                                    }
                                }));
    }

    private void whenHere(Runnable what) {
        if (time.now() < recordAway) {
            time.in(recordAway - time.now() + 0.01, () -> whenHere(what));
        } else {
            what.run();
        }
    }

    private void renew(SessionId session) {
        record.sessionTimeout(session)
                .ifPresent(seconds -> ends.put(session, time.now() + seconds));
    }

    private void endSessions() {
        ends.entrySet()
                .removeIf(
                        end -> {
                            if (time.now() > end.getValue() && time.now() >= recordAway) {
                                record.apply(++places, new StoreCommand.EndSession(end.getKey()));
                                count("sessions ended by the record");
                                return true;
                            }
                            return false;
                        });
        time.in(LOOK, this::endSessions);
    }

    // Owners.

    private final class Station implements LeaseHolder.Environment {
        private final int number;
        private double rate;
        private int run;
        private LeaseHolder owner;
        private boolean still;
        private final List<Runnable> held = new ArrayList<>();

        Station(int number) {
            this.number = number;
            start();
        }

        void start() {
            run++;
            // Within what leases assume, or far beyond it.
            rate =
                    clocksStray
                            ? 0.3 + 1.4 * chance.nextDouble()
                            : 0.985 + 0.03 * chance.nextDouble();
            owner = new LeaseHolder("o" + number, DUTY, plan, terms, this);
            int mine = run;
            tick(mine);
        }

        private double clock() {
            return 100 * number + time.now() * rate;
        }

        private void tick(int mine) {
            if (run == mine && !isBroken()) {
                if (!still) {
                    owner.tick(clock());
                    twoAtOnce();
                }
                time.in(LOOK, () -> tick(mine));
            }
        }

        /** Something that came: looked at now, or when it goes on. */
        private void hear(int mine, Runnable what) {
            if (run == mine) {
                if (still) {
                    held.add(what);
                } else {
                    what.run();
                }
            }
        }

        void goOn() {
            if (still) {
                still = false;
                List<Runnable> all = List.copyOf(held);
                held.clear();
                int mine = run;
                all.forEach(what -> hear(mine, what));
            }
        }

        private void twoAtOnce() {
            long holding =
                    stations.stream()
                            .filter(each -> !each.still && each.owner.isHeld(each.clock()))
                            .count();
            if (holding > 1 && !clocksStray) {
                broken("two owners hold at once");
            }
        }

        @Override
        public void submit(StoreCommand command) {
            int mine = run;
            boolean[] heard = new boolean[1];
            command(
                    command,
                    answer ->
                            hear(
                                    mine,
                                    () -> {
                                        heard[0] = true;
                                        owner.commandCompleted(clock(), command, answer);
                                    }));
            time.in(
                    CALL,
                    () ->
                            hear(
                                    mine,
                                    () -> {
                                        if (!heard[0]) {
                                            count("calls unknown");
                                            owner.commandCompleted(
                                                    clock(), command, new CallResult.Unknown(""));
                                        }
                                    }));
        }

        @Override
        public void renewSession(SessionId session, double asked) {
            int mine = run;
            if (lost()) {
                return;
            }
            time.in(
                    late(),
                    () ->
                            whenHere(
                                    () -> {
                                        boolean there = record.sessionTimeout(session).isPresent();
                                        DutyWorld.this.renew(session);
                                        if (!lost()) {
                                            time.in(
                                                    late(),
                                                    () ->
                                                            hear(
                                                                    mine,
                                                                    () -> {
                                                                        if (there) {
                                                                            owner.sessionRenewed(
                                                                                    clock(), asked);
                                                                        } else {
                                                                            owner.sessionEnded(
                                                                                    clock());
                                                                        }
                                                                    }));
                                        }
                                    }));
        }

        @Override
        public void readProgress(TaskId duty) {
            int mine = run;
            if (!lost()) {
                time.in(
                        late(),
                        () ->
                                whenHere(
                                        () -> {
                                            KeyValue item =
                                                    record.find(duty.progressKey()).orElse(null);
                                            time.in(
                                                    late(),
                                                    () ->
                                                            hear(
                                                                    mine,
                                                                    () ->
                                                                            owner.progressRead(
                                                                                    clock(),
                                                                                    Optional
                                                                                            .ofNullable(
                                                                                                    item)
                                                                                            .map(
                                                                                                    KeyValue
                                                                                                            ::value))));
                                        }));
            }
        }

        @Override
        public void runStep(TaskId duty, TaskPlan of, int step, FencingToken fence) {
            int mine = run;
            count("orders");
            if (!owner.isHeld(clock())) {
                broken("o" + number + " acts though its time is over");
            }
            Receiver receiver = receivers.get(step % RECEIVERS);
            if (!lost()) {
                time.in(
                        late(),
                        () ->
                                receiver.order(
                                        step,
                                        fence,
                                        verdict -> {
                                            if (!lost()) {
                                                time.in(
                                                        late(),
                                                        () ->
                                                                hear(
                                                                        mine,
                                                                        () ->
                                                                                owner.stepEnded(
                                                                                        clock(),
                                                                                        step, fence,
                                                                                        verdict)));
                                            }
                                        }));
            }
            time.in(
                    3 * ACT,
                    () ->
                            hear(
                                    mine,
                                    () ->
                                            owner.stepEnded(
                                                    clock(),
                                                    step,
                                                    fence,
                                                    LeaseHolder.StepOutcome.UNKNOWN)));
        }

        @Override
        public void notifyOperator(String what) {
            count(what.contains("is done") ? "plans done" : what.replaceAll("\\d+", "N"));
        }
    }

    // Receivers.

    private final class Receiver {
        private final int number;
        private FencingGuard gate = new FencingGuard();
        private int run;
        private FencingToken highest = FencingToken.NONE;

        Receiver(int number) {
            this.number = number;
            askRecord();
        }

        private void askRecord() {
            int mine = run;
            time.in(
                    late(),
                    () ->
                            whenHere(
                                    () -> {
                                        KeyValue item = record.find(DUTY.tokenKey()).orElse(null);
                                        long fence = item == null ? 0 : item.revision();
                                        time.in(
                                                late(),
                                                () -> {
                                                    if (run == mine) {
                                                        gate.learnLatest(
                                                                DUTY, new FencingToken(fence));
                                                    }
                                                });
                                    }));
        }

        void restart() {
            run++;
            gate = new FencingGuard();
            count("receivers started anew");
            askRecord();
        }

        void order(int step, FencingToken fence, Consumer<LeaseHolder.StepOutcome> answer) {
            FencingGuard.Verdict verdict = gate.admit(DUTY, fence);
            count("orders " + verdict);
            if (verdict == FencingGuard.Verdict.ADMITTED) {
                if (fence.compareTo(highest) < 0) {
                    broken(
                            "r"
                                    + number
                                    + " takes an order by "
                                    + fence.number()
                                    + " after "
                                    + highest.number());
                }
                highest = fence;
                took(step);
            }
            answer.accept(
                    verdict == FencingGuard.Verdict.ADMITTED
                            ? LeaseHolder.StepOutcome.DONE
                            : verdict == FencingGuard.Verdict.STALE
                                    ? LeaseHolder.StepOutcome.STALE_TOKEN
                                    : LeaseHolder.StepOutcome.UNKNOWN);
        }
    }

    /**
     * A step may be done again, but none before the one before it, nor without having been intended
     * in the record.
     */
    private void took(int step) {
        if (step > firstNotBegun) {
            broken("step " + step + " is done before step " + firstNotBegun);
        }
        if (step == firstNotBegun) {
            firstNotBegun++;
        } else {
            count("steps done again");
        }
        KeyValue progress = record.find(DUTY.progressKey()).orElse(null);
        String[] words =
                progress == null ? new String[] {"", "", "-1"} : progress.value().split(" ");
        if (Integer.parseInt(words[2]) < step) {
            broken("step " + step + " is done and was not noted as intended");
        }
    }

    private void fault() {
        if (!faults()) {
            return;
        }
        Station station = stations.get(chance.nextInt(OWNERS));
        double lasts = 0.1 + (chance.nextInt(3) == 0 ? 8 : 2) * chance.nextDouble();
        switch (chance.nextInt(5)) {
            case 0, 1 -> {
                count("owners stopped");
                station.still = true;
                time.in(lasts, station::goOn);
            }
            case 2 -> {
                count("owners started anew");
                station.still = false;
                station.held.clear();
                station.start();
            }
            case 3 -> receivers.get(chance.nextInt(RECEIVERS)).restart();
            default -> {
                count("record away");
                recordAway = time.now() + lasts / 2;
                // Whoever leads then counts all sessions from the start again.
                time.in(
                        lasts / 2,
                        () ->
                                ends.replaceAll(
                                        (session, end) ->
                                                time.now()
                                                        + record.sessionTimeout(session)
                                                                .orElse(-1.0)));
            }
        }
        time.in(3 * chance.nextDouble(), this::fault);
    }

    private Report play() {
        for (int i = 0; i < RECEIVERS; i++) {
            receivers.add(new Receiver(i));
        }
        for (int i = 0; i < OWNERS; i++) {
            stations.add(new Station(i));
        }
        endSessions();
        fault();
        time.runWhile(() -> !isBroken(), END);
        if (firstNotBegun < plan.steps()
                || stations.stream().noneMatch(station -> station.owner.isFinished())) {
            broken("the plan is not done: step " + firstNotBegun + " of " + plan.steps());
        }
        return report();
    }
}
