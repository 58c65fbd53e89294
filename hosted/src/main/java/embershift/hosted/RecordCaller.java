package embershift.hosted;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.fleet.Answer;
import embershift.fleet.Command;
import embershift.fleet.Condition;
import embershift.fleet.Write;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
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

    public void ask(Command command, double within, Consumer<Answer> heard) {
        ask(
                json(command),
                within,
                outcome ->
                        heard.accept(
                                outcome.done()
                                        ? new Answer.Done(outcome.answer().path("number").asLong())
                                        : outcome.unknown()
                                                ? new Answer.Unknown(outcome.text())
                                                : new Answer.Refused(
                                                        reason(outcome.reason()), outcome.text())));
    }

    private static Answer.Reason reason(String written) {
        try {
            return Answer.Reason.valueOf(written.toUpperCase(Locale.ROOT).replace('-', '_'));
        } catch (IllegalArgumentException e) {
            return Answer.Reason.BUSY;
        }
    }

    private static ObjectNode json(Command command) {
        if (command instanceof Command.Open open) {
            return RecordClient.call("open")
                    .put("client", open.client())
                    .put("seconds", open.seconds());
        }
        if (command instanceof Command.End end) {
            return RecordClient.call("end").put("session", end.session().number());
        }
        Command.Change change = (Command.Change) command;
        return changes(change.conditions(), change.writes())
                .put("session", change.session().number())
                .put("number", change.number())
                .put("open", change.open());
    }

    /** A change that the client gives a session and a number. */
    public static ObjectNode changes(List<Condition> conditions, List<Write> all) {
        ObjectNode call = RecordClient.call("change");
        ArrayNode asked = call.putArray("conditions");
        for (Condition condition : conditions) {
            asked.addObject().put("key", condition.key()).put("revision", condition.revision());
        }
        ArrayNode writes = call.putArray("writes");
        for (Write write : all) {
            writes.addObject()
                    .put("key", write.key())
                    .put("value", write.value())
                    .put("bound", write.bound());
        }
        return call;
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }
}
