package embershift.hosted;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.door.JsonMessages;
import embershift.fleet.store.CallResult;
import embershift.fleet.store.Mutation;
import embershift.fleet.store.Precondition;
import embershift.fleet.store.SessionId;
import embershift.fleet.store.StoreCommand;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * A non-blocking client of the replicated store: calls are made one after the other on a thread of
 * its own, and their outcomes are handed to an executor of the caller.
 */
public final class AsyncStoreClient implements AutoCloseable, NodeConnections.StoreCalls {

    /** Calls that may wait for their turn; further ones are refused as busy. */
    static final int MAX_QUEUED_CALLS = 1024;

    private final AtomicInteger queuedCalls = new AtomicInteger();
    private final ExecutorService executor;
    private final StoreClient client;
    private final Executor callbackExecutor;

    /**
     * Creates a client.
     *
     * @param addresses supplies the current addresses of the instances
     * @param callbackExecutor runs the listeners of outcomes
     */
    public AsyncStoreClient(
            Supplier<List<InetSocketAddress>> addresses, String name, Executor callbackExecutor) {
        this.callbackExecutor = callbackExecutor;
        client = new StoreClient(addresses, name);
        executor =
                Executors.newSingleThreadExecutor(
                        task -> {
                            Thread thread = new Thread(null, task, "record " + name, 256 << 10);
                            thread.setDaemon(true);
                            return thread;
                        });
    }

    @Override
    public void call(
            ObjectNode call, double timeoutSeconds, Consumer<StoreClient.Outcome> listener) {
        if (queuedCalls.get() >= MAX_QUEUED_CALLS) {
            ObjectNode answer = JsonMessages.newObject().put("reason", "busy");
            callbackExecutor.execute(
                    () -> listener.accept(new StoreClient.Outcome("refused", answer)));
            return;
        }
        queuedCalls.incrementAndGet();
        try {
            executor.execute(
                    () -> {
                        queuedCalls.decrementAndGet();
                        StoreClient.Outcome outcome = client.call(call, timeoutSeconds);
                        callbackExecutor.execute(() -> listener.accept(outcome));
                    });
        } catch (RejectedExecutionException e) {
            // The client is closed, and nobody waits for the outcome any more.
        }
    }

    public void call(StoreCommand command, double timeoutSeconds, Consumer<CallResult> listener) {
        call(
                toCall(command),
                timeoutSeconds,
                outcome ->
                        listener.accept(
                                outcome.isDone()
                                        ? new CallResult.Done(
                                                outcome.answer().path("number").asLong())
                                        : outcome.isUnknown()
                                                ? new CallResult.Unknown(outcome.text())
                                                : new CallResult.Rejected(
                                                        parseReason(outcome.reason()),
                                                        outcome.text())));
    }

    /** Renews a session; runs neither callback if there is no answer or another one. */
    public void renewSession(
            SessionId session, double timeoutSeconds, Runnable onRenewed, Runnable onEnded) {
        call(
                StoreClient.newCall("renew").put("session", session.number()),
                timeoutSeconds,
                outcome -> {
                    if (outcome.isDone()) {
                        onRenewed.run();
                    } else if (outcome.reason().equals("no-session")) {
                        onEnded.run();
                    }
                });
    }

    /**
     * Reads a key's value, empty if it has none; the listener is not called if there is no answer.
     */
    public void readValue(String key, double timeoutSeconds, Consumer<Optional<String>> listener) {
        call(
                StoreClient.newCall("get").put("key", key),
                timeoutSeconds,
                outcome -> {
                    if (outcome.isDone()) {
                        JsonNode item = outcome.answer().path("items").path(0);
                        listener.accept(
                                item.isMissingNode()
                                        ? Optional.empty()
                                        : Optional.of(item.path("value").asText()));
                    }
                });
    }

    private static CallResult.Reason parseReason(String wireName) {
        for (CallResult.Reason reason : CallResult.Reason.values()) {
            if (reason.wireName().equals(wireName)) {
                return reason;
            }
        }
        return CallResult.Reason.BUSY;
    }

    private static ObjectNode toCall(StoreCommand command) {
        if (command instanceof StoreCommand.OpenSession open) {
            return StoreClient.newCall("open")
                    .put("client", open.client())
                    .put("seconds", open.timeoutSeconds());
        }
        if (command instanceof StoreCommand.EndSession end) {
            return StoreClient.newCall("end").put("session", end.session().number());
        }
        StoreCommand.Transaction change = (StoreCommand.Transaction) command;
        return newTransaction(change.preconditions(), change.mutations())
                .put("session", change.session().number())
                .put("number", change.sequenceNumber())
                .put("open", change.oldestOpenNumber());
    }

    /**
     * Returns a call for a transaction, to which the client adds its session and a sequence number.
     */
    public static ObjectNode newTransaction(
            List<Precondition> preconditions, List<Mutation> mutations) {
        ObjectNode call = StoreClient.newCall("change");
        ArrayNode conditions = call.putArray("conditions");
        for (Precondition condition : preconditions) {
            conditions
                    .addObject()
                    .put("key", condition.key())
                    .put("revision", condition.revision());
        }
        ArrayNode writes = call.putArray("writes");
        for (Mutation write : mutations) {
            writes.addObject()
                    .put("key", write.key())
                    .put("value", write.value().orElse(null))
                    .put("bound", write.sessionBound());
        }
        return call;
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
