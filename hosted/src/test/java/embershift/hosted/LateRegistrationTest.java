package embershift.hosted;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.door.JsonMessages;
import embershift.fleet.store.CommandResult;
import embershift.fleet.store.KeyValueStore;
import embershift.fleet.store.StoreCommand;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Registrations of two processes of one node that reach the store late, or in another order than
 * they were made in. Guards against review/6: a dead process's registration shut out the live one.
 */
public class LateRegistrationTest {

    private KeyValueStore store;
    private NodeConnections connections;
    private List<PendingCall> calls;
    private long logIndex;

    /** A call that is on its way to the store. */
    private record PendingCall(ObjectNode call, Consumer<StoreClient.Outcome> listener) {}

    /** A connection to a process of the node; remembers what the instance sent. */
    private static final class ProcessChannel implements NodeConnections.Channel {
        private final List<String> kinds = new ArrayList<>();
        private boolean isClosed;

        @Override
        public void sendToNode(ObjectNode message) {
            kinds.add(message.path("kind").asText());
        }

        @Override
        public void closeGracefully() {
            isClosed = true;
        }

        @Override
        public void close() {
            isClosed = true;
        }
    }

    @BeforeMethod
    public void createInstance() {
        store = new KeyValueStore();
        calls = new ArrayList<>();
        logIndex = 0;
        NodeConnections.StoreCalls client =
                (call, timeout, listener) -> calls.add(new PendingCall(call, listener));
        NodeConnections.Listener noTask =
                new NodeConnections.Listener() {
                    @Override
                    public void nodeReported(NodeConnections.NodeConnection node) {}

                    @Override
                    public void nodeDisconnected(NodeConnections.NodeConnection node) {}
                };
        connections = new NodeConnections(() -> 0, () -> store, client, client, noTask);
    }

    private ProcessChannel connect(String bootId) {
        ProcessChannel channel = new ProcessChannel();
        connections.handleHello(
                channel,
                JsonMessages.newMessage("here")
                        .put("version", 1)
                        .put("name", "n1")
                        .put("boot", bootId)
                        .put("incarnation", 0));
        return channel;
    }

    /** Lets a call arrive at the store, and its outcome at the instance. */
    private void arrive(PendingCall pending) {
        StoreCommand.Transaction transaction = CallHandler.transaction(pending.call);
        CommandResult result = store.apply(++logIndex, transaction);
        ObjectNode answer = JsonMessages.newObject();
        if (result instanceof CommandResult.Done done) {
            pending.listener.accept(
                    new StoreClient.Outcome("done", answer.put("number", done.number())));
        } else {
            pending.listener.accept(
                    new StoreClient.Outcome("refused", answer.put("reason", "condition")));
        }
        connections.checkConnections();
    }

    private ProcessChannel connectAndRegister(String bootId) {
        ProcessChannel channel = connect(bootId);
        arrive(calls.remove(calls.size() - 1));
        assertEquals(channel.kinds, List.of("welcome"));
        return channel;
    }

    @Test
    public void lateRegistrationDoesNotReplaceLaterProcess() {
        connectAndRegister("a1");
        ProcessChannel second = connect("b2");
        PendingCall late = calls.remove(0);
        ProcessChannel third = connectAndRegister("c3");

        arrive(late);

        assertEquals(third.kinds, List.of("welcome"));
        assertFalse(third.isClosed);
        assertTrue(second.isClosed);
        assertEquals(store.find("node/n1").orElseThrow().value(), "c3");
    }

    @Test
    public void firstRegistrationOfNameThatArrivesLateIsRefused() {
        connect("a1");
        PendingCall late = calls.remove(0);
        ProcessChannel second = connectAndRegister("b2");

        arrive(late);

        assertFalse(second.isClosed);
        assertEquals(store.find("node/n1").orElseThrow().value(), "b2");
    }

    @Test
    public void processWhoseRegistrationWasOvertakenRegistersAtItsNextAttempt() {
        connectAndRegister("a1");
        connect("b2");
        PendingCall overtaking = calls.remove(0);
        ProcessChannel third = connect("c3");
        PendingCall overtaken = calls.remove(0);

        arrive(overtaking);
        arrive(overtaken);

        assertTrue(third.isClosed);
        ProcessChannel again = connectAndRegister("c3");
        assertFalse(again.isClosed);
    }
}
