package embershift.hosted;

import com.fasterxml.jackson.databind.JsonNode;
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
import java.util.Set;
import java.util.function.Supplier;

/**
 * A blocking client of the replicated store: it tries the instances one after the other until one
 * answers, within a timeout. Not for use on an event loop, and not thread-safe.
 */
public final class StoreClient implements AutoCloseable {

    /** Seconds that a call waits for one instance before it tries the next one. */
    /** Calls with an effect that carry no number by which a repeated one is recognized. */
    private static final Set<String> UNNUMBERED_CHANGES =
            Set.of("found", "add", "remove", "transfer");

    private static final double INSTANCE_TIMEOUT_SECONDS = 0.7;

    /** Seconds until a call is retried after a failure or a temporary refusal. */
    private static final double RETRY_PAUSE_SECONDS = 0.03;

    private final Supplier<List<InetSocketAddress>> addresses;
    private final String name;
    private int addressIndex;
    private Socket socket;
    private FrameCodec frames;
    private long lastCallId;
    private long session;
    private long sequenceNumber;

    /** How a call ended; {@code status} is done, refused or unknown. */
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

    /**
     * Creates a client.
     *
     * @param addresses supplies the current addresses of the instances, on the calling thread
     */
    public StoreClient(Supplier<List<InetSocketAddress>> addresses, String name) {
        this.addresses = addresses;
        this.name = name;
    }

    public static ObjectNode newCall(String name) {
        return JsonMessages.newObject().put("call", name);
    }

    /**
     * Returns a call that changes one key.
     *
     * @param value null deletes the key
     * @param revision the revision that the key must have; negative for any
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
     * Makes a call, with retries until the timeout. A change carries a number of this client's
     * session, so that it is carried out at most once however often it is sent. The outcome is
     * unknown only if the call was sent and not answered.
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
                            JsonMessages.newObject()
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
        return call.path("call").asText().equals("list") && !call.has("paged")
                ? listAllPages(call, deadline)
                : callWithRetries(call, deadline);
    }

    /** Lists all items, page by page: together they may be too long for one answer. */
    private Outcome listAllPages(ObjectNode call, long deadline) {
        Outcome page = callWithRetries(call.put("paged", true), deadline);
        if (!page.isDone()) {
            return page;
        }
        ObjectNode all = page.answer();
        ArrayNode items = all.withArray("items");
        while (hasMorePages(page)) {
            page = callWithRetries(call.put("after", lastKey(page)), deadline);
            if (!page.isDone()) {
                return page;
            }
            page.answer().path("items").forEach(items::add);
        }
        all.remove("more");
        return new Outcome("done", all);
    }

    /** Whether further items follow a page of a list. */
    static boolean hasMorePages(Outcome page) {
        return page.answer().path("more").asBoolean() && !page.answer().path("items").isEmpty();
    }

    /** Returns the key of the last item of a page of a list that is not empty. */
    static String lastKey(Outcome page) {
        JsonNode items = page.answer().path("items");
        return items.path(items.size() - 1).path("key").asText();
    }

    private Outcome callWithRetries(ObjectNode call, long deadline) {
        boolean mayHaveRun = false;
        ObjectNode lastAnswer =
                JsonMessages.newObject()
                        .put("reason", "no-answer")
                        .put("text", "no instance answered");
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
                    // The end of the session does not tell whether an earlier attempt was
                    // carried out before. Neither does the refusal of a call without a number: it
                    // may be the effect of the earlier attempt that this one was refused for.
                    boolean isUndecided =
                            mayHaveRun
                                    && (reason.equals("no-session")
                                            || reason.equals("forgotten")
                                            || UNNUMBERED_CHANGES.contains(
                                                    call.path("call").asText()));
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

    /** The call failed before any byte of it was sent. */
    private static final class NotSentException extends IOException {

        private static final long serialVersionUID = 1;

        NotSentException(String message) {
            super(message);
        }
    }

    /** Makes one attempt at the current instance. */
    private ObjectNode callOnce(ObjectNode call, long deadline) throws IOException {
        if (socket == null) {
            List<InetSocketAddress> currentAddresses = addresses.get();
            if (currentAddresses.isEmpty()) {
                throw new NotSentException("no addresses of instances are known");
            }
            InetSocketAddress address =
                    currentAddresses.get(addressIndex % currentAddresses.size());
            Socket newSocket = new Socket();
            try {
                newSocket.connect(address, remainingMillis(deadline));
                newSocket.setTcpNoDelay(true);
            } catch (IOException e) {
                newSocket.close();
                throw new NotSentException("cannot connect to " + address);
            }
            socket = newSocket;
            frames = new FrameCodec();
        }
        long id = ++lastCallId;
        call.put("id", id).put("version", 1);
        socket.getOutputStream()
                .write(FrameCodec.encodeToArray(FrameCodec.CALL, JsonMessages.encode(call)));
        InputStream in = socket.getInputStream();
        List<byte[]> answers = new ArrayList<>();
        byte[] buffer = new byte[16 << 10];
        while (true) {
            for (byte[] frame : answers) {
                ObjectNode answer = readAnswer(frame);
                if (answer.path("id").asLong() == id) {
                    return answer;
                }
            }
            answers.clear();
            socket.setSoTimeout(remainingMillis(deadline));
            int count = in.read(buffer);
            if (count < 0) {
                throw new IOException("the connection was closed");
            }
            try {
                frames.decode(ByteBuffer.wrap(buffer, 0, count), answers::add);
            } catch (FrameCodec.MalformedFrameException e) {
                throw new IOException(e.getMessage());
            }
        }
    }

    private static ObjectNode readAnswer(byte[] frame) throws IOException {
        try {
            return JsonMessages.decodeFrame(frame);
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

    /** Calls one instance, whether or not it leads; returns null if it does not answer in time. */
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
                // The socket is closed nevertheless.
            }
            socket = null;
        }
    }
}
