package embershift.fleet;

/**
 * One who would work at a duty: claims it when nobody has it, keeps it, and does its plan's steps
 * in order. Each step is noted as intended before its effect and as done after it; who takes over
 * finishes what was intended, under the same step, before it begins the next. Fed time and answers;
 * decides only. Times in seconds that never run backwards.
 */
public final class Owner {

    /**
     * How an effect ended: its receivers took it; one of them knows a later fence; or nobody can
     * tell.
     */
    public enum Effect {
        DONE,
        OLD,
        UNKNOWN
    }

    /** What an owner has done for it. None of these may call back. */
    public interface Hands {

        /**
         * A command for the record; {@link Owner#answered} is owed, with an unknown end at the
         * latest after some time.
         */
        void ask(Command command);

        /**
         * Renews the session; {@link Owner#renewed} or {@link Owner#sessionOver} is owed, or
         * nothing.
         */
        void renew(SessionId session, double asked);

        /**
         * Reads what the record holds of progress; {@link Owner#found} is owed, or nothing, then it
         * is asked again.
         */
        void look(DutyId duty);

        /** Has a step done, by this fence; {@link Owner#acted} is owed, however late. */
        void act(DutyId duty, Plan plan, int step, Fence fence);

        /** Something that an operator should know. */
        void told(String what);
    }

    /**
     * {@code session}: seconds without a word after which the record lets go; {@code again}:
     * between two tries; {@code stuck}: without progress after which the duty is given back; {@code
     * owners}: how many may begin the same step before nobody does; {@code longestPause}: of one
     * that lost the duty again and again.
     */
    public record Terms(
            double session, double again, double stuck, int owners, double longestPause) {

        public static final Terms USUAL = new Terms(3, 0.2, 20, 3, 30);
    }

    private enum Stage {
        AWAY,
        OPENING,
        IDLE,
        CLAIMING,
        LOOKING,
        NOTING,
        ACTING,
        RESTING,
        STANDING,
        GIVING_BACK,
        OVER
    }

    private final String name;
    private final DutyId duty;
    private final Plan plan;
    private final Terms terms;
    private final Hands hands;
    private Stage stage = Stage.AWAY;
    private SessionId session = SessionId.NONE;
    private long number;
    private final Tenure tenure;
    private Command out;

    /** When the command that is out was first asked for. */
    private double asked;

    private double next = Double.NEGATIVE_INFINITY;
    private double renewedAt = Double.NEGATIVE_INFINITY;
    private Plan.Progress progress;

    /** What is being noted, until it is known to be. */
    private Plan.Progress noting;

    private double progressed;
    private double grantedAt;

    /** How often it was lost; forgotten by one that has had it for long. */
    private int losses;

    /**
     * Seconds by which this one is slower to claim than others: duties spread over those who have
     * few.
     */
    private double reluctance;

    private boolean leaves;
    private boolean taken;

    public Owner(String name, DutyId duty, Plan plan, Terms terms, Hands hands) {
        this.name = name;
        this.duty = duty;
        this.plan = plan;
        this.terms = terms;
        this.hands = hands;
        tenure = new Tenure(terms.session());
    }

    /** Whether this owner takes itself for the one that may act now. */
    public boolean holds(double now) {
        return working() && tenure.holds(now);
    }

    private boolean working() {
        return stage == Stage.LOOKING
                || stage == Stage.NOTING
                || stage == Stage.ACTING
                || stage == Stage.RESTING
                || stage == Stage.STANDING;
    }

    /** Whether this one has the duty, or is about to give it back. */
    public boolean has() {
        return working() || stage == Stage.GIVING_BACK;
    }

    /**
     * Whether what may take as long as any effect of the plan may be begun now: it ends while this
     * one still holds.
     */
    public boolean mayAct(double now) {
        return working() && tenure.mayBegin(now, plan.longest());
    }

    public Fence fence() {
        return tenure.fence();
    }

    /** Whether there is nothing more to do for it: the plan is done, or stopped. */
    public boolean over() {
        return stage == Stage.OVER;
    }

    /** Time has passed. To be called often beside {@code again}. */
    public void tick(double now) {
        if (session.number() != 0
                && stage != Stage.OVER
                && now - renewedAt >= terms.session() / 3
                && (tenure.wantsRenewal(now) || !tenure.holds(now))) {
            renewedAt = now;
            hands.renew(session, now);
        }
        if (working() && now - progressed > terms.stuck()) {
            hands.told(
                    duty.name()
                            + " gets nothing done here, at step "
                            + (progress == null ? 0 : progress.step()));
            losses++;
            giveBack(now);
            return;
        }
        if (working() && now - grantedAt > terms.longestPause()) {
            losses = 0;
        }
        if (now < next) {
            return;
        }
        switch (stage) {
            case AWAY -> {
                stage = Stage.OPENING;
                ask(now, new Command.Open(name, terms.session()));
            }
            case IDLE -> {
                if (!leaves && !taken) {
                    stage = Stage.CLAIMING;
                    ask(now, Grants.claim(session, ++number, duty, name));
                }
            }
            case LOOKING -> {
                next = now + 5 * terms.again();
                hands.look(duty);
            }
            case RESTING -> step(now);
            case OPENING, CLAIMING, NOTING, GIVING_BACK -> {
                if (out != null) {
                    // The same number again: it is carried out once.
                    next = Double.POSITIVE_INFINITY;
                    hands.ask(out);
                }
            }
            default -> {}
        }
    }

    private void ask(double now, Command command) {
        out = command;
        asked = now;
        next = Double.POSITIVE_INFINITY;
        hands.ask(command);
    }

    /** What became of a command; of one that is not out any more, nothing is heard. */
    public void answered(double now, Command command, Answer answer) {
        if (command != out) {
            return;
        }
        if (answer instanceof Answer.Done done) {
            out = null;
            done(now, done.number());
        } else if (answer instanceof Answer.Refused refused
                && refused.reason() == Answer.Reason.CONDITION) {
            out = null;
            conditionFailed(now);
        } else if (answer instanceof Answer.Refused refused
                && (refused.reason() == Answer.Reason.NO_SESSION
                        || refused.reason() == Answer.Reason.FORGOTTEN)) {
            sessionOver(now);
        } else {
            next = now + terms.again();
        }
    }

    private void done(double now, long result) {
        switch (stage) {
            case OPENING -> {
                session = new SessionId(result);
                number = 0;
                renewedAt = now;
                idle(now, reluctance);
            }
            case CLAIMING -> {
                tenure.granted(new Fence(result), asked);
                renewedAt = Double.NEGATIVE_INFINITY;
                progressed = now;
                grantedAt = now;
                progress = null;
                stage = plan.standing() ? Stage.STANDING : Stage.LOOKING;
                next = now;
                if (leaves) {
                    giveBack(now);
                } else if (plan.standing()) {
                    hands.act(duty, plan, 0, tenure.fence());
                }
            }
            case NOTING -> {
                progress = noting;
                progressed = now;
                step(now);
            }
            case GIVING_BACK -> idle(now, pause());
            default -> {}
        }
    }

    private void conditionFailed(double now) {
        switch (stage) {
            case CLAIMING -> idle(now, terms.again() + reluctance);
            case NOTING, GIVING_BACK -> lost(now);
            default -> {}
        }
    }

    private void idle(double now, double pause) {
        tenure.over();
        stage = Stage.IDLE;
        next = now + pause;
    }

    private void lost(double now) {
        losses++;
        idle(now, pause());
    }

    /** Who loses a duty again and again waits longer each time. */
    private double pause() {
        return Math.min(terms.longestPause(), terms.again() * Math.pow(2, Math.min(losses, 20)));
    }

    /** Something of it has got on: it is not stuck. */
    public void progressed(double now) {
        progressed = now;
    }

    /** A receiver, or the record, knows a later grant than this one's: another has the duty. */
    public void knows(double now, Fence later) {
        if (working() && later.compareTo(tenure.fence()) > 0) {
            lost(now);
        }
    }

    /** How much slower than others this one is to claim, in seconds. */
    public void reluctance(double seconds) {
        reluctance = seconds;
    }

    /**
     * Whether another is known to have it, as far as can be told here: a claim would be refused,
     * and cost the record an entry.
     */
    public void taken(double now, boolean byAnother) {
        if (taken && !byAnother) {
            next = Math.max(next, now + reluctance);
        }
        taken = byAnother;
    }

    /** It is to come here: it is claimed as soon as nobody has it, whatever was lost before. */
    public void wanted(double now) {
        if (stage == Stage.IDLE) {
            next = Math.min(next, now);
        }
    }

    /** Gives the duty back at once, if it has it, and claims nothing more while it leaves. */
    public void leaves(double now, boolean on) {
        leaves = on;
        if (on) {
            giveBack(now);
        }
    }

    /** The session was renewed by a call of that time. */
    public void renewed(double now, double sent) {
        if (working()) {
            // Nobody else can have been granted the duty while its owner's session stands.
            tenure.renewed(sent);
        }
    }

    /** The record knows the session no more. */
    public void sessionOver(double now) {
        if (working()) {
            losses++;
        }
        tenure.over();
        session = SessionId.NONE;
        out = null;
        if (stage != Stage.OVER) {
            stage = Stage.AWAY;
            next = now + pause();
        }
    }

    /** What the record holds of progress; null for nothing. */
    public void found(double now, String text) {
        if (stage != Stage.LOOKING) {
            return;
        }
        progress = Plan.Progress.read(text);
        if (progress != null && !progress.plan().equals(plan.name())) {
            progress = null;
        }
        if (progress != null && progress.state() == Plan.Progress.State.POISONED) {
            finish(duty.name() + " stays stopped at step " + progress.step());
        } else if (progress != null && progress.state() == Plan.Progress.State.INTENDED) {
            int owners = progress.owners() + 1;
            if (owners > terms.owners()) {
                hands.told(
                        duty.name()
                                + " stops: step "
                                + progress.step()
                                + " was begun by "
                                + progress.owners()
                                + " owners and not ended");
                note(
                        now,
                        new Plan.Progress(
                                plan.name(),
                                Plan.Progress.State.POISONED,
                                progress.step(),
                                progress.owners()));
            } else {
                note(
                        now,
                        new Plan.Progress(
                                plan.name(),
                                Plan.Progress.State.INTENDED,
                                progress.step(),
                                owners));
            }
        } else {
            step(now);
        }
    }

    private void note(double now, Plan.Progress what) {
        stage = Stage.NOTING;
        noting = what;
        ask(now, Grants.note(session, ++number, duty, tenure.fence(), what.text()));
    }

    /** Goes on from where progress is known to be. */
    private void step(double now) {
        if (progress != null && progress.state() == Plan.Progress.State.POISONED) {
            finish(duty.name() + " is stopped at step " + progress.step());
        } else if (progress != null && progress.state() == Plan.Progress.State.INTENDED) {
            if (tenure.mayBegin(now, plan.longest())) {
                stage = Stage.ACTING;
                next = Double.POSITIVE_INFINITY;
                hands.act(duty, plan, progress.step(), tenure.fence());
            } else {
                stage = Stage.RESTING;
                next = now + terms.again();
            }
        } else {
            int following = progress == null ? 0 : progress.step() + 1;
            if (following >= plan.steps()) {
                finish(duty.name() + " is done");
            } else {
                note(
                        now,
                        new Plan.Progress(plan.name(), Plan.Progress.State.INTENDED, following, 1));
            }
        }
    }

    private void finish(String why) {
        hands.told(why);
        hands.ask(Grants.giveBack(session, ++number, duty, tenure.fence()));
        tenure.over();
        out = null;
        stage = Stage.OVER;
    }

    /** Lets the duty go on purpose: another may claim it at once. */
    public void giveBack(double now) {
        if (working()) {
            stage = Stage.GIVING_BACK;
            tenure.over();
            ask(now, Grants.giveBack(session, ++number, duty, tenure.fence()));
        }
    }

    /** How the effect of a step ended. */
    public void acted(double now, int step, Fence by, Effect effect) {
        if (stage != Stage.ACTING
                || progress == null
                || progress.step() != step
                || !by.equals(tenure.fence())) {
            return;
        }
        switch (effect) {
            case DONE ->
                    note(
                            now,
                            new Plan.Progress(
                                    plan.name(),
                                    Plan.Progress.State.DONE,
                                    step,
                                    progress.owners()));
            case OLD -> lost(now);
            default -> {
                stage = Stage.RESTING;
                next = now + terms.again();
            }
        }
    }
}
