package embershift.hosted;

import static net.logstash.logback.argument.StructuredArguments.kv;

import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.fleet.Command;
import embershift.fleet.Condition;
import embershift.fleet.DutyId;
import embershift.fleet.Fence;
import embershift.fleet.Item;
import embershift.fleet.Owner;
import embershift.fleet.Plan;
import embershift.fleet.SessionId;
import embershift.fleet.Write;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One duty at this instance: an {@link Owner} with its calls to the record. Those that extend it do
 * the work, while it holds, by its fence. On the loop.
 */
abstract class Duty implements Owner.Hands {

    private static final Logger LOG = LoggerFactory.getLogger(Duty.class);
    private static final double CALL = 1.5;
    private static final double AGAIN = 0.2;

    private record Writing(List<Write> some, Runnable done) {}

    final Duties all;
    final DutyId id;
    private Owner owner;
    private Fence begun = Fence.NONE;
    private final Deque<Writing> writes = new ArrayDeque<>();
    private boolean writing;

    /** The order to hand it over that was followed already. */
    private long followed;

    Duty(Duties all, String name) {
        this.all = all;
        id = new DutyId(name);
    }

    /** The number at the beginning of what the record holds there; 0 for nothing. */
    static long number(Item item) {
        String first = item == null ? "" : item.value().split(" ", 2)[0];
        return first.matches("\\d{1,18}") ? Long.parseLong(first) : 0;
    }

    final void own(Plan plan, Owner.Terms terms) {
        owner = new Owner(all.name(), id, plan, terms, this);
    }

    final Owner owner() {
        return owner;
    }

    final double now() {
        return all.now();
    }

    final boolean holds() {
        return owner != null && owner.holds(now());
    }

    final Fence fence() {
        return owner.fence();
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
        Item wanted = all.record().get("duty/" + id.name() + "/wanted");
        boolean mine = wanted != null && wanted.value().equals(all.name());
        if (wanted != null && !mine && owner.has() && wanted.revision() != followed) {
            followed = wanted.revision();
            told(id.name() + " is handed over to " + wanted.value());
            owner.giveBack(now);
        }
        owner.reluctance(mine ? 0 : wanted != null ? reluctance + Duties.HANDED_OVER : reluctance);
        owner.taken(now, all.record().get(id.ownerKey()) != null);
        if (mine) {
            owner.wanted(now);
        }
        owner.tick(now);
        if (holds() && !begun.equals(owner.fence())) {
            finish();
            begun = owner.fence();
            LOG.info("duty", kv("duty", id.name()), kv("fence", begun.number()));
            all.counted("duties begun");
            if (mine) {
                write(List.of(new Write(wanted.key(), null, false)));
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
        if (!begun.equals(Fence.NONE)) {
            begun = Fence.NONE;
            writes.clear();
            LOG.info("duty over", kv("duty", id.name()));
            end();
        }
    }

    /**
     * Writes under this owner's fence, in this order; nothing of it is written once another was
     * granted the duty.
     */
    final void write(List<Write> some) {
        write(some, () -> {});
    }

    /** {@code done} runs once it is in the record, while this owner still has the duty. */
    final void write(List<Write> some, Runnable done) {
        writes.add(new Writing(some, done));
        writeNext();
    }

    private void writeNext() {
        if (writing || writes.isEmpty() || !holds()) {
            return;
        }
        writing = true;
        List<Write> some = writes.peek().some;
        Fence by = fence();
        all.commands()
                .ask(
                        RecordCaller.changes(
                                List.of(new Condition(id.fenceKey(), by.number())), some),
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
                                owner.knows(now(), new Fence(by.number() + 1));
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
                        owner.knows(now(), new Fence(verdict.path("known").asLong()));
                    }
                    heard.accept(verdict);
                });
    }

    // The owner's hands.

    @Override
    public final void ask(Command command) {
        all.commands().ask(command, CALL, answer -> owner.answered(now(), command, answer));
    }

    @Override
    public final void renew(SessionId session, double asked) {
        all.words()
                .ask(
                        RecordClient.call("renew").put("session", session.number()),
                        CALL,
                        outcome -> {
                            if (outcome.done()) {
                                owner.renewed(now(), asked);
                            } else if (outcome.reason().equals("no-session")) {
                                owner.sessionOver(now());
                            }
                        });
    }

    @Override
    public final void look(DutyId duty) {
        all.words()
                .ask(
                        RecordClient.call("get").put("key", duty.progressKey()),
                        CALL,
                        outcome -> {
                            if (outcome.done()) {
                                var item = outcome.answer().path("items").path(0);
                                owner.found(
                                        now(),
                                        item.isMissingNode() ? null : item.path("value").asText());
                            }
                        });
    }

    @Override
    public void act(DutyId duty, Plan plan, int step, Fence fence) {
        // A duty without steps begins its work at the next tick.
    }

    @Override
    public final void told(String what) {
        LOG.info("told", kv("duty", id.name()), kv("what", what));
    }
}
