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
 * A task of the fleet that one instance at a time does under a lease: a {@link LeaseHolder} with
 * its calls to the store. Subclasses do the work while the lease is held, with its fencing token.
 * Confined to the event loop.
 */
abstract class LeasedTask implements LeaseHolder.Environment {

    private static final Logger LOG = LoggerFactory.getLogger(LeasedTask.class);
    private static final double CALL_TIMEOUT_SECONDS = 1.5;
    private static final double WRITE_RETRY_SECONDS = 0.2;

    private record PendingWrite(List<Mutation> mutations, Runnable onWritten) {}

    final LeasedTasks tasks;
    final TaskId id;
    private LeaseHolder leaseHolder;
    private FencingToken activeToken = FencingToken.NONE;
    private final Deque<PendingWrite> pendingWrites = new ArrayDeque<>();
    private boolean isWriting;

    /** The store revision of the transfer request that was handled last. */
    private long handledTransfer;

    LeasedTask(LeasedTasks tasks, String name) {
        this.tasks = tasks;
        id = new TaskId(name);
    }

    /** Returns the number at the start of a value in the store, or 0 if there is none. */
    static long leadingNumber(KeyValue item) {
        String firstWord = item == null ? "" : item.value().split(" ", 2)[0];
        return firstWord.matches("\\d{1,18}") ? Long.parseLong(firstWord) : 0;
    }

    final void createLeaseHolder(TaskPlan plan, LeaseSettings settings) {
        leaseHolder = new LeaseHolder(tasks.name(), id, plan, settings, this);
    }

    final LeaseHolder leaseHolder() {
        return leaseHolder;
    }

    final double now() {
        return tasks.now();
    }

    final boolean holdsLease() {
        return leaseHolder != null && leaseHolder.isHeld(now());
    }

    final FencingToken token() {
        return leaseHolder.token();
    }

    /** Called when this instance has acquired the lease, under a new fencing token. */
    abstract void leaseAcquired();

    /** Called when the lease is gone: nothing may be sent under it from now on. */
    abstract void leaseLost();

    /** Called at each tick while the lease is held. */
    abstract void doWork();

    /** Called at the start of each tick, whether the lease is held or not. */
    void prepare() {}

    final void tick(double acquireDelay) {
        prepare();
        if (leaseHolder == null) {
            return;
        }
        double now = now();
        KeyValue transfer = tasks.store().find("duty/" + id.name() + "/wanted").orElse(null);
        boolean isTarget = transfer != null && transfer.value().equals(tasks.name());
        if (transfer != null
                && !isTarget
                && leaseHolder.isHeldOrReleasing()
                && transfer.revision() != handledTransfer) {
            handledTransfer = transfer.revision();
            notifyOperator(id.name() + " is transferred to " + transfer.value());
            leaseHolder.release(now);
        }
        leaseHolder.setAcquireDelay(
                isTarget
                        ? 0
                        : transfer != null
                                ? acquireDelay + LeasedTasks.TRANSFER_DELAY_SECONDS
                                : acquireDelay);
        leaseHolder.setHeldByAnother(now, tasks.store().find(id.holderKey()).isPresent());
        if (isTarget) {
            leaseHolder.acquireSoon(now);
        }
        leaseHolder.tick(now);
        if (holdsLease() && !activeToken.equals(leaseHolder.token())) {
            deactivate();
            activeToken = leaseHolder.token();
            LOG.info("duty", kv("duty", id.name()), kv("fence", activeToken.number()));
            tasks.count("duties begun");
            if (isTarget) {
                write(List.of(Mutation.delete(transfer.key())));
            } else if (transfer != null) {
                // The target of the transfer did not acquire it in time, and this instance did:
                // that request counts as handled.
                handledTransfer = transfer.revision();
            }
            leaseAcquired();
        }
        if (!holdsLease()) {
            deactivate();
        } else {
            doWork();
        }
    }

    private void deactivate() {
        if (!activeToken.equals(FencingToken.NONE)) {
            activeToken = FencingToken.NONE;
            pendingWrites.clear();
            LOG.info("lease ended", kv("duty", id.name()));
            leaseLost();
        }
    }

    /**
     * Writes to the store under this lease's fencing token, in the order of the calls; nothing is
     * written once another instance was granted the lease.
     */
    final void write(List<Mutation> mutations) {
        write(mutations, () -> {});
    }

    /**
     * {@code onWritten} runs once the mutations are stored, if this instance still holds the lease.
     */
    final void write(List<Mutation> mutations, Runnable onWritten) {
        pendingWrites.add(new PendingWrite(mutations, onWritten));
        writeNext();
    }

    private void writeNext() {
        if (isWriting || pendingWrites.isEmpty() || !holdsLease()) {
            return;
        }
        isWriting = true;
        List<Mutation> mutations = pendingWrites.peek().mutations;
        FencingToken token = token();
        tasks.commandClient()
                .call(
                        AsyncStoreClient.newTransaction(
                                List.of(new Precondition(id.tokenKey(), token.number())),
                                mutations),
                        CALL_TIMEOUT_SECONDS,
                        outcome -> {
                            isWriting = false;
                            if (!token.equals(activeToken)) {
                                return;
                            }
                            if (outcome.isDone()) {
                                pendingWrites.poll().onWritten.run();
                                writeNext();
                            } else if (outcome.reason().equals("condition")) {
                                leaseHolder.tokenObserved(
                                        now(), new FencingToken(token.number() + 1));
                            } else {
                                tasks.schedule(WRITE_RETRY_SECONDS, this::writeNext);
                            }
                        });
    }

    /**
     * Sends a node an order under the fencing token; a node that knows a later token ends the lease
     * here. The listener gets the verdict, or null for none.
     */
    final void sendOrder(
            NodeConnections.NodeConnection node,
            String kind,
            ObjectNode order,
            Consumer<ObjectNode> listener) {
        node.sendOrder(
                order.put("duty", id.name()).put("fence", token().number()).put("what", kind),
                verdict -> {
                    if (verdict != null && verdict.path("verdict").asText().equals("OLD")) {
                        tasks.count("orders refused as old");
                        leaseHolder.tokenObserved(
                                now(), new FencingToken(verdict.path("known").asLong()));
                    }
                    listener.accept(verdict);
                });
    }

    // Environment of the lease holder

    @Override
    public final void submit(StoreCommand command) {
        tasks.commandClient()
                .call(
                        command,
                        CALL_TIMEOUT_SECONDS,
                        result -> leaseHolder.commandCompleted(now(), command, result));
    }

    @Override
    public final void renewSession(SessionId session, double sentAt) {
        tasks.queryClient()
                .renewSession(
                        session,
                        CALL_TIMEOUT_SECONDS,
                        () -> leaseHolder.sessionRenewed(now(), sentAt),
                        () -> leaseHolder.sessionEnded(now()));
    }

    @Override
    public final void readProgress(TaskId task) {
        tasks.queryClient()
                .readValue(
                        task.progressKey(),
                        CALL_TIMEOUT_SECONDS,
                        progress -> leaseHolder.progressRead(now(), progress));
    }

    @Override
    public void runStep(TaskId task, TaskPlan plan, int step, FencingToken token) {
        // A task without steps starts its work at the next tick.
    }

    @Override
    public final void notifyOperator(String message) {
        LOG.info("told", kv("duty", id.name()), kv("what", message));
    }
}
