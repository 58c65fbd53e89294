package embershift.hosted;

import static net.logstash.logback.argument.StructuredArguments.kv;

import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.fleet.lease.FencingToken;
import embershift.fleet.lease.LeaseHolder;
import embershift.fleet.lease.LeaseSettings;
import embershift.fleet.lease.TaskId;
import embershift.fleet.lease.TaskPlan;
import embershift.fleet.store.KeyValue;
import embershift.fleet.store.Mutation;
import embershift.fleet.store.Precondition;
import embershift.fleet.store.SessionId;
import embershift.fleet.store.StoreCommand;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One duty at this instance: an {@link LeaseHolder} with its calls to the record. Those that extend
 * it do the work, while it holds, by its fence. On the loop.
 */
abstract class Duty implements LeaseHolder.Environment {

    private static final Logger LOG = LoggerFactory.getLogger(Duty.class);
    private static final double CALL = 1.5;
    private static final double AGAIN = 0.2;

    private record Writing(List<Mutation> some, Runnable done) {}

    final Duties all;
    final TaskId id;
    private LeaseHolder owner;
    private FencingToken begun = FencingToken.NONE;
    private final Deque<Writing> writes = new ArrayDeque<>();
    private boolean writing;

    /** The order to hand it over that was followed already. */
    private long followed;

    Duty(Duties all, String name) {
        this.all = all;
        id = new TaskId(name);
    }

    /** The number at the beginning of what the record holds there; 0 for nothing. */
    static long number(KeyValue item) {
        String first = item == null ? "" : item.value().split(" ", 2)[0];
        return first.matches("\\d{1,18}") ? Long.parseLong(first) : 0;
    }

    final void own(TaskPlan plan, LeaseSettings terms) {
        owner = new LeaseHolder(all.name(), id, plan, terms, this);
    }

    final LeaseHolder owner() {
        return owner;
    }

    final double now() {
        return all.now();
    }

    final boolean holds() {
        return owner != null && owner.isHeld(now());
    }

    final FencingToken fence() {
        return owner.token();
    }

    /** The duty is this instance's, by this fence. */
    abstract void begin();

    /** It is not any more: nothing may go out from now on. */
    abstract void end();

    /** Called often while it holds. */
    abstract void work();

    /** Called before the owner looks at the time, whether it holds or not. */
    void prepare() {}

    final void tick(double reluctance) {
        prepare();
        if (owner == null) {
            return;
        }
        double now = now();
        KeyValue wanted = all.record().find("duty/" + id.name() + "/wanted").orElse(null);
        boolean mine = wanted != null && wanted.value().equals(all.name());
        if (wanted != null && !mine && owner.isHeldOrReleasing() && wanted.revision() != followed) {
            followed = wanted.revision();
            notifyOperator(id.name() + " is handed over to " + wanted.value());
            owner.release(now);
        }
        owner.setAcquireDelay(
                mine ? 0 : wanted != null ? reluctance + Duties.HANDED_OVER : reluctance);
        owner.setHeldByAnother(now, all.record().find(id.holderKey()).isPresent());
        if (mine) {
            owner.acquireSoon(now);
        }
        owner.tick(now);
        if (holds() && !begun.equals(owner.token())) {
            finish();
            begun = owner.token();
            LOG.info("duty", kv("duty", id.name()), kv("fence", begun.number()));
            all.counted("duties begun");
            if (mine) {
                write(List.of(Mutation.delete(wanted.key())));
            } else if (wanted != null) {
                // The one that it is to go to has not come for it.
                followed = wanted.revision();
            }
            begin();
        }
        if (!holds()) {
            finish();
        } else {
            work();
        }
    }

    private void finish() {
        if (!begun.equals(FencingToken.NONE)) {
            begun = FencingToken.NONE;
            writes.clear();
            LOG.info("duty over", kv("duty", id.name()));
            end();
        }
    }

    /**
     * Writes under this owner's fence, in this order; nothing of it is written once another was
     * granted the duty.
     */
    final void write(List<Mutation> some) {
        write(some, () -> {});
    }

    /** {@code done} runs once it is in the record, while this owner still has the duty. */
    final void write(List<Mutation> some, Runnable done) {
        writes.add(new Writing(some, done));
        writeNext();
    }

    private void writeNext() {
        if (writing || writes.isEmpty() || !holds()) {
            return;
        }
        writing = true;
        List<Mutation> some = writes.peek().some;
        FencingToken by = fence();
        all.commands()
                .ask(
                        RecordCaller.changes(
                                List.of(new Precondition(id.tokenKey(), by.number())), some),
                        CALL,
                        outcome -> {
                            writing = false;
                            if (!by.equals(begun)) {
                                return;
                            }
                            if (outcome.done()) {
                                writes.poll().done.run();
                                writeNext();
                            } else if (outcome.reason().equals("condition")) {
                                owner.tokenObserved(now(), new FencingToken(by.number() + 1));
                            } else {
                                all.after(AGAIN, this::writeNext);
                            }
                        });
    }

    /**
     * Gives a node an order by this owner's fence; a node that knows a later one ends the duty
     * here. Hears the verdict, or null for none.
     */
    final void order(
            Nodes.NodeLink link, String what, ObjectNode order, Consumer<ObjectNode> heard) {
        link.order(
                order.put("duty", id.name()).put("fence", fence().number()).put("what", what),
                verdict -> {
                    if (verdict != null && verdict.path("verdict").asText().equals("OLD")) {
                        all.counted("orders refused as old");
                        owner.tokenObserved(
                                now(), new FencingToken(verdict.path("known").asLong()));
                    }
                    heard.accept(verdict);
                });
    }

    // The owner's hands.

    @Override
    public final void submit(StoreCommand command) {
        all.commands().ask(command, CALL, answer -> owner.commandCompleted(now(), command, answer));
    }

    @Override
    public final void renewSession(SessionId session, double asked) {
        all.words()
                .renewSession(
                        session,
                        CALL,
                        () -> owner.sessionRenewed(now(), asked),
                        () -> owner.sessionEnded(now()));
    }

    @Override
    public final void readProgress(TaskId duty) {
        all.words()
                .readValue(
                        duty.progressKey(), CALL, progress -> owner.progressRead(now(), progress));
    }

    @Override
    public void runStep(TaskId duty, TaskPlan plan, int step, FencingToken fence) {
        // A duty without steps begins its work at the next tick.
    }

    @Override
    public final void notifyOperator(String what) {
        LOG.info("told", kv("duty", id.name()), kv("what", what));
    }
}
