package embershift.hosted;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.door.FrameCodec;
import embershift.door.JsonMessages;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Asks the instances, one after the other until one can answer, within a time. Waits for answers:
 * not for a loop. One thread at a time.
 */
public final class StoreClient implements AutoCloseable {

    /**
     * Seconds that one instance is waited for before another is asked, and after a refusal that may
     * pass.
     */
    private static final double INSTANCE_TIMEOUT_SECONDS = 0.7;

    private static final double RETRY_PAUSE_SECONDS = 0.03;

    private final Supplier<List<InetSocketAddress>> addresses;
    private final String name;
    private int addressIndex;
    private Socket socket;
    private FrameCodec frames;
    private long lastCallId;
    private long session;
    private long sequenceNumber;

    /** How a call ended; {@code end}: done, refused or unknown. */
    public record Outcome(String status, ObjectNode answer) {

        public boolean isDone() {
            return status.equals("done");
        }

        public boolean isUnknown() {
            return status.equals("unknown");
        }

        public String reason() {
            return answer == null ? "" : answer.path("reason").asText();
        }

        public String text() {
            return answer == null ? "" : answer.path("text").asText();
        }
    }

    public StoreClient(List<InetSocketAddress> addresses, String name) {
        this(() -> addresses, name);
    }

    /** {@code addresses}: where the instances are now; asked from the thread that asks. */
    public StoreClient(Supplier<List<InetSocketAddress>> addresses, String name) {
        this.addresses = addresses;
        this.name = name;
    }

    public static ObjectNode newCall(String name) {
        return JsonMessages.node().put("call", name);
    }

    /**
     * A change of one key; {@code revision} negative: whatever it was; {@code value} null: takes it
     * away.
     */
    public static ObjectNode newPut(String key, String value, long revision) {
        ObjectNode call = newCall("change");
        ArrayNode conditions = call.putArray("conditions");
        if (revision >= 0) {
            conditions.addObject().put("key", key).put("revision", revision);
        }
        call.putArray("writes").addObject().put("key", key).put("value", value);
        return call;
    }

    /**
     * Has a call carried out, if it can be within so many seconds. A change goes under a session's
     * number, so that it is carried out once however often it is sent. Unknown only where it was
     * sent and not answered.
     */
    public Outcome call(ObjectNode call, double timeoutSeconds) {
        long deadline = System.nanoTime() + (long) (timeoutSeconds * 1e9);
        if (call.path("call").asText().equals("change") && !call.has("session")) {
            if (session == 0) {
                Outcome opened =
                        callWithRetries(
                                newCall("open").put("client", name).put("seconds", 30), deadline);
                if (!opened.isDone()) {
                    return new Outcome(
                            "refused",
                            JsonMessages.node()
                                    .put("reason", "no-leader")
                                    .put(
                                            "text",
                                            "no session could be " + "opened: " + opened.text()));
                }
                session = opened.answer().path("number").asLong();
                sequenceNumber = 0;
            }
            sequenceNumber++;
            call.put("session", session).put("number", sequenceNumber).put("open", sequenceNumber);
            Outcome outcome = callWithRetries(call, deadline);
            if (outcome.isUnknown() || outcome.reason().equals("no-session")) {
                session = 0;
            }
            return outcome;
        }
        return callWithRetries(call, deadline);
    }

    private Outcome callWithRetries(ObjectNode call, long deadline) {
        boolean mayHaveRun = false;
        ObjectNode lastAnswer =
                JsonMessages.node().put("reason", "no-answer").put("text", "no instance answered");
        while (System.nanoTime() < deadline) {
            try {
                ObjectNode answer =
                        callOnce(
                                call,
                                Math.min(
                                        deadline,
                                        System.nanoTime()
                                                + (long) (INSTANCE_TIMEOUT_SECONDS * 1e9)));
                String status = answer.path("end").asText();
                String reason = answer.path("reason").asText();
                if (status.equals("done")) {
                    return new Outcome(status, answer);
                }
                lastAnswer = answer;
                if (status.equals("unknown")) {
                    mayHaveRun = true;
                } else if (!reason.equals("not-leader") && !reason.equals("busy")) {
                    // Its session's end says nothing of what was sent before that.
                    boolean isUndecided =
                            mayHaveRun
                                    && (reason.equals("no-session") || reason.equals("forgotten"));
                    return new Outcome(isUndecided ? "unknown" : "refused", answer);
                }
                if (!reason.equals("busy")) {
                    useNextInstance();
                }
            } catch (NotSentException e) {
                lastAnswer.put("text", e.getMessage());
                useNextInstance();
            } catch (IOException e) {
                mayHaveRun = true;
                lastAnswer.put("text", "no answer: " + e.getMessage());
                useNextInstance();
            }
            pauseBeforeRetry(deadline);
        }
        boolean isChange =
                !List.of("get", "list", "status", "watch").contains(call.path("call").asText());
        return new Outcome(mayHaveRun && isChange ? "unknown" : "refused", lastAnswer);
    }

    private static void pauseBeforeRetry(long deadline) {
        try {
            Thread.sleep(
                    Math.max(
                            0,
                            Math.min(
                                    (long) (RETRY_PAUSE_SECONDS * 1000),
                                    (deadline - System.nanoTime()) / 1_000_000)));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void useNextInstance() {
        close();
        addressIndex++;
    }

    /** Nothing of the call has left this program. */
    private static final class NotSentException extends IOException {

        private static final long serialVersionUID = 1;

        NotSentException(String message) {
            super(message);
        }
    }

    /** Asks the instance whose turn it is. */
    private ObjectNode callOnce(ObjectNode call, long deadline) throws IOException {
        if (socket == null) {
            List<InetSocketAddress> known = addresses.get();
            if (known.isEmpty()) {
                throw new NotSentException("no instance is known");
            }
            InetSocketAddress address = known.get(addressIndex % known.size());
            Socket newSocket = new Socket();
            try {
                newSocket.connect(address, remainingMillis(deadline));
                newSocket.setTcpNoDelay(true);
            } catch (IOException e) {
                newSocket.close();
                throw new NotSentException("nobody is at " + address);
            }
            socket = newSocket;
            frames = new FrameCodec();
        }
        long id = ++lastCallId;
        call.put("id", id).put("version", 1);
        socket.getOutputStream()
                .write(FrameCodec.encodeToArray(FrameCodec.CALL, JsonMessages.bytes(call)));
        InputStream in = socket.getInputStream();
        List<byte[]> answers = new ArrayList<>();
        byte[] buffer = new byte[16 << 10];
        while (true) {
            for (byte[] each : answers) {
                ObjectNode answer = readAnswer(each);
                if (answer.path("id").asLong() == id) {
                    return answer;
                }
            }
            answers.clear();
            socket.setSoTimeout(remainingMillis(deadline));
            int count = in.read(buffer);
            if (count < 0) {
                throw new IOException("the connection ended");
            }
            try {
                frames.take(ByteBuffer.wrap(buffer, 0, count), answers::add);
            } catch (FrameCodec.MalformedFrameException e) {
                throw new IOException(e.getMessage());
            }
        }
    }

    private static ObjectNode readAnswer(byte[] frame) throws IOException {
        try {
            return JsonMessages.read(frame);
        } catch (FrameCodec.MalformedFrameException e) {
            throw new IOException(e.getMessage());
        }
    }

    private static int remainingMillis(long deadline) throws SocketTimeoutException {
        long millis = (deadline - System.nanoTime()) / 1_000_000;
        if (millis <= 0) {
            throw new SocketTimeoutException("no answer in time");
        }
        return (int) millis;
    }

    /** Asks one instance itself, whoever leads; null where it does not answer in time. */
    public static ObjectNode callInstance(
            InetSocketAddress address, ObjectNode call, double timeoutSeconds) {
        try (StoreClient client = new StoreClient(List.of(address), "")) {
            return client.callOnce(call, System.nanoTime() + (long) (timeoutSeconds * 1e9));
        } catch (IOException e) {
            return null;
        }
    }

    @Override
    public void close() {
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                // It is gone all the same.
            }
            socket = null;
        }
    }
}
