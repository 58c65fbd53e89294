package embershift.hosted;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
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
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Asks the record for one that may not wait: calls go out one after the other from a thread of its
 * own, answers come back where it lives.
 */
public final class RecordCaller implements AutoCloseable {

    private final ExecutorService thread;
    private final RecordClient client;
    private final Executor back;

    /** {@code addresses}: where the instances are now; {@code back}: on which answers are heard. */
    public RecordCaller(Supplier<List<InetSocketAddress>> addresses, String name, Executor back) {
        this.back = back;
        client = new RecordClient(addresses, name);
        thread =
                Executors.newSingleThreadExecutor(
                        task -> {
                            Thread made = new Thread(null, task, "record " + name, 256 << 10);
                            made.setDaemon(true);
                            return made;
                        });
    }

    public void ask(ObjectNode call, double within, Consumer<RecordClient.Outcome> heard) {
        try {
            thread.execute(
                    () -> {
                        RecordClient.Outcome outcome = client.ask(call, within);
                        back.execute(() -> heard.accept(outcome));
                    });
        } catch (RejectedExecutionException e) {
            // It is closed: nobody waits any more.
        }
    }

    public void ask(StoreCommand command, double within, Consumer<CallResult> heard) {
        ask(
                json(command),
                within,
                outcome ->
                        heard.accept(
                                outcome.done()
                                        ? new CallResult.Done(
                                                outcome.answer().path("number").asLong())
                                        : outcome.unknown()
                                                ? new CallResult.Unknown(outcome.text())
                                                : new CallResult.Rejected(
                                                        reason(outcome.reason()), outcome.text())));
    }

    /** Renews a session; neither is run where no answer comes, or another one. */
    public void renewSession(
            SessionId session, double withinSeconds, Runnable renewed, Runnable ended) {
        ask(
                RecordClient.call("renew").put("session", session.number()),
                withinSeconds,
                outcome -> {
                    if (outcome.done()) {
                        renewed.run();
                    } else if (outcome.reason().equals("no-session")) {
                        ended.run();
                    }
                });
    }

    /** Reads a key's value, empty where it has none; nothing is heard where no answer comes. */
    public void readValue(String key, double withinSeconds, Consumer<Optional<String>> heard) {
        ask(
                RecordClient.call("get").put("key", key),
                withinSeconds,
                outcome -> {
                    if (outcome.done()) {
                        JsonNode item = outcome.answer().path("items").path(0);
                        heard.accept(
                                item.isMissingNode()
                                        ? Optional.empty()
                                        : Optional.of(item.path("value").asText()));
                    }
                });
    }

    private static CallResult.Reason reason(String written) {
        for (CallResult.Reason reason : CallResult.Reason.values()) {
            if (reason.wireName().equals(written)) {
                return reason;
            }
        }
        return CallResult.Reason.BUSY;
    }

    private static ObjectNode json(StoreCommand command) {
        if (command instanceof StoreCommand.OpenSession open) {
            return RecordClient.call("open")
                    .put("client", open.client())
                    .put("seconds", open.timeoutSeconds());
        }
        if (command instanceof StoreCommand.EndSession end) {
            return RecordClient.call("end").put("session", end.session().number());
        }
        StoreCommand.Transaction change = (StoreCommand.Transaction) command;
        return changes(change.preconditions(), change.mutations())
                .put("session", change.session().number())
                .put("number", change.sequenceNumber())
                .put("open", change.oldestOpenNumber());
    }

    /** A change that the client gives a session and a number. */
    public static ObjectNode changes(List<Precondition> conditions, List<Mutation> all) {
        ObjectNode call = RecordClient.call("change");
        ArrayNode asked = call.putArray("conditions");
        for (Precondition condition : conditions) {
            asked.addObject().put("key", condition.key()).put("revision", condition.revision());
        }
        ArrayNode writes = call.putArray("writes");
        for (Mutation write : all) {
            writes.addObject()
                    .put("key", write.key())
                    .put("value", write.value().orElse(null))
                    .put("bound", write.sessionBound());
        }
        return call;
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }
}
