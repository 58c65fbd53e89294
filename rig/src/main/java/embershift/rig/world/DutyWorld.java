package embershift.rig.world;

import embershift.fleet.Answer;
import embershift.fleet.Command;
import embershift.fleet.DutyId;
import embershift.fleet.Fence;
import embershift.fleet.Gate;
import embershift.fleet.Item;
import embershift.fleet.Owner;
import embershift.fleet.Plan;
import embershift.fleet.Record;
import embershift.fleet.Result;
import embershift.fleet.SessionId;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.LongStream;

/**
 * Owners of one duty, an agreed record that is seldom away, and receivers, in virtual time: owners are stopped and go on, end
 * and start anew; calls and orders are late, lost, and read long after; clocks run apart. Judged by what receivers took.
 */
public final class DutyWorld {

    /** {@code broken}: null where all held; {@code reached}: what the world ever did. */
    public record Report(long seed, String broken, Map<String, Long> reached) {
    }

    private static final DutyId DUTY = new DutyId("work");
    private static final int OWNERS = 3;
    private static final int RECEIVERS = 2;
    private static final double FAULTS = 40;
    private static final double END = 160;
    private static final double CALL = 1;
    private static final double ACT = 0.4;
    private static final double LOOK = 0.05;

    private final long seed;
    private final Random chance;
    private final Plan plan;
    private final Owner.Terms terms = new Owner.Terms(2, 0.1, 15, 1000, 4);
    private final PriorityQueue<Happening> agenda = new PriorityQueue<>();
    private final TreeMap<String, Long> reached = new TreeMap<>();
    private final Record record = new Record();
    private final Map<SessionId, Double> ends = new HashMap<>();
    private final List<Station> stations = new ArrayList<>();
    private final List<Receiver> receivers = new ArrayList<>();
    private final boolean clocksStray;
    private double now;
    private double recordAway;
    private long places;
    private long happenings;
    private int firstNotBegun;
    private String broken;

    private record Happening(double at, long number, Runnable what) implements Comparable<Happening> {
        @Override
        public int compareTo(Happening other) {
            int order = Double.compare(at, other.at);
            return order != 0 ? order : Long.compare(number, other.number);
        }
    }

    private DutyWorld(long seed) {
        this.seed = seed;
        chance = new Random(seed);
        clocksStray = chance.nextInt(3) == 0;
        plan = new Plan("p", 3 + chance.nextInt(8), ACT);
    }

    public static Report play(long seed) {
        return new DutyWorld(seed).play();
    }

    /** The first broken world among the seeds, or null. */
    public static String firstBroken(long first, long many) {
        return LongStream.range(first, first + many).parallel().mapToObj(DutyWorld::play)
                .filter(report -> report.broken() != null).findAny()
                .map(report -> "seed " + report.seed() + " " + report.broken()).orElse(null);
    }

    private void in(double delay, Runnable what) {
        agenda.add(new Happening(now + delay, ++happenings, what));
    }

    private void count(String what) {
        reached.merge(what, 1L, Long::sum);
    }

    private void broken(String what) {
        if (broken == null) {
            broken = String.format(Locale.ROOT, "at %.3f s: %s", now, what);
        }
    }

    /** Mostly soon; now and then long after. */
    private double late() {
        return chance.nextInt(20) == 0 && now < FAULTS ? 6 * chance.nextDouble() : 0.002 + 0.02 * chance.nextDouble();
    }

    private boolean lost() {
        return now < FAULTS && chance.nextInt(25) == 0;
    }

    // The record.

    private void command(Command command, Consumer<Answer> answer) {
        if (lost()) {
            return;
        }
        in(late(), () -> whenHere(() -> {
            Result result = record.apply(++places, command);
            if (command instanceof Command.Open && result.done()) {
                renew(new SessionId(result.number()));
            } else if (command instanceof Command.Change change) {
                renew(change.session());
            }
            if (!lost()) {
                in(late(), () -> answer.accept(result.done() ? new Answer.Done(result.number())
                        : new Answer.Refused(Answer.Reason.valueOf(result.why().name()), result.text())));
            }
        }));
    }

    private void whenHere(Runnable what) {
        if (now < recordAway) {
            in(recordAway - now + 0.01, () -> whenHere(what));
        } else {
            what.run();
        }
    }

    private void renew(SessionId session) {
        double seconds = record.seconds(session);
        if (seconds > 0) {
            ends.put(session, now + seconds);
        }
    }

    private void endSessions() {
        ends.entrySet().removeIf(end -> {
            if (now > end.getValue() && now >= recordAway) {
                record.apply(++places, new Command.End(end.getKey()));
                count("sessions ended by the record");
                return true;
            }
            return false;
        });
        in(LOOK, this::endSessions);
    }

    // Owners.

    private final class Station implements Owner.Hands {
        private final int number;
        private double rate;
        private int run;
        private Owner owner;
        private boolean still;
        private final List<Runnable> held = new ArrayList<>();

        Station(int number) {
            this.number = number;
            start();
        }

        void start() {
            run++;
            // Within what leases assume, or far beyond it.
            rate = clocksStray ? 0.3 + 1.4 * chance.nextDouble() : 0.985 + 0.03 * chance.nextDouble();
            owner = new Owner("o" + number, DUTY, plan, terms, this);
            int mine = run;
            tick(mine);
        }

        private double time() {
            return 100 * number + now * rate;
        }

        private void tick(int mine) {
            if (run == mine && broken == null) {
                if (!still) {
                    owner.tick(time());
                    twoAtOnce();
                }
                in(LOOK, () -> tick(mine));
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
            long holding = stations.stream().filter(each -> !each.still && each.owner.holds(each.time())).count();
            if (holding > 1 && !clocksStray) {
                broken("two owners hold at once");
            }
        }

        @Override
        public void ask(Command command) {
            int mine = run;
            boolean[] heard = new boolean[1];
            command(command, answer -> hear(mine, () -> {
                heard[0] = true;
                owner.answered(time(), command, answer);
            }));
            in(CALL, () -> hear(mine, () -> {
                if (!heard[0]) {
                    count("calls unknown");
                    owner.answered(time(), command, new Answer.Unknown(""));
                }
            }));
        }

        @Override
        public void renew(SessionId session, double asked) {
            int mine = run;
            if (lost()) {
                return;
            }
            in(late(), () -> whenHere(() -> {
                boolean there = record.seconds(session) > 0;
                DutyWorld.this.renew(session);
                if (!lost()) {
                    in(late(), () -> hear(mine, () -> {
                        if (there) {
                            owner.renewed(time(), asked);
                        } else {
                            owner.sessionOver(time());
                        }
                    }));
                }
            }));
        }

        @Override
        public void look(DutyId duty) {
            int mine = run;
            if (!lost()) {
                in(late(), () -> whenHere(() -> {
                    Item item = record.get(duty.progressKey());
                    in(late(), () -> hear(mine, () -> owner.found(time(), item == null ? null : item.value())));
                }));
            }
        }

        @Override
        public void act(DutyId duty, Plan of, int step, Fence fence) {
            int mine = run;
            count("orders");
            if (!owner.holds(time())) {
                broken("o" + number + " acts though its time is over");
            }
            Receiver receiver = receivers.get(step % RECEIVERS);
            if (!lost()) {
                in(late(), () -> receiver.order(step, fence, verdict -> {
                    if (!lost()) {
                        in(late(), () -> hear(mine, () -> owner.acted(time(), step, fence, verdict)));
                    }
                }));
            }
            in(3 * ACT, () -> hear(mine, () -> owner.acted(time(), step, fence, Owner.Effect.UNKNOWN)));
        }

        @Override
        public void told(String what) {
            count(what.contains("is done") ? "plans done" : what.replaceAll("\\d+", "N"));
        }
    }

    // Receivers.

    private final class Receiver {
        private final int number;
        private Gate gate = new Gate();
        private int run;
        private Fence highest = Fence.NONE;

        Receiver(int number) {
            this.number = number;
            askRecord();
        }

        private void askRecord() {
            int mine = run;
            in(late(), () -> whenHere(() -> {
                Item item = record.get(DUTY.fenceKey());
                long fence = item == null ? 0 : item.revision();
                in(late(), () -> {
                    if (run == mine) {
                        gate.told(DUTY, new Fence(fence));
                    }
                });
            }));
        }

        void restart() {
            run++;
            gate = new Gate();
            count("receivers started anew");
            askRecord();
        }

        void order(int step, Fence fence, Consumer<Owner.Effect> answer) {
            Gate.Verdict verdict = gate.take(DUTY, fence);
            count("orders " + verdict);
            if (verdict == Gate.Verdict.TAKEN) {
                if (fence.compareTo(highest) < 0) {
                    broken("r" + number + " takes an order by " + fence.number() + " after " + highest.number());
                }
                highest = fence;
                took(step);
            }
            answer.accept(verdict == Gate.Verdict.TAKEN ? Owner.Effect.DONE : verdict == Gate.Verdict.OLD ? Owner.Effect.OLD
                    : Owner.Effect.UNKNOWN);
        }
    }

    /** A step may be done again, but none before the one before it, nor without having been intended in the record. */
    private void took(int step) {
        if (step > firstNotBegun) {
            broken("step " + step + " is done before step " + firstNotBegun);
        }
        if (step == firstNotBegun) {
            firstNotBegun++;
        } else {
            count("steps done again");
        }
        Item progress = record.get(DUTY.progressKey());
        String[] words = progress == null ? new String[] {"", "", "-1"} : progress.value().split(" ");
        if (Integer.parseInt(words[2]) < step) {
            broken("step " + step + " is done and was not noted as intended");
        }
    }

    private void fault() {
        if (now >= FAULTS) {
            return;
        }
        Station station = stations.get(chance.nextInt(OWNERS));
        double lasts = 0.1 + (chance.nextInt(3) == 0 ? 8 : 2) * chance.nextDouble();
        switch (chance.nextInt(5)) {
            case 0, 1 -> {
                count("owners stopped");
                station.still = true;
                in(lasts, station::goOn);
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
                recordAway = now + lasts / 2;
                // Whoever leads then counts all sessions from the start again.
                in(lasts / 2, () -> ends.replaceAll((session, end) -> now + record.seconds(session)));
            }
        }
        in(3 * chance.nextDouble(), this::fault);
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
        while (broken == null && !agenda.isEmpty() && agenda.peek().at <= END) {
            Happening next = agenda.remove();
            now = next.at;
            next.what.run();
        }
        if (firstNotBegun < plan.steps() || stations.stream().noneMatch(station -> station.owner.over())) {
            broken("the plan is not done: step " + firstNotBegun + " of " + plan.steps());
        }
        return new Report(seed, broken, reached);
    }
}
