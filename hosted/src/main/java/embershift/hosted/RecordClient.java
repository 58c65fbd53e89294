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
public final class RecordClient implements AutoCloseable {

    /**
     * Seconds that one instance is waited for before another is asked, and after a refusal that may
     * pass.
     */
    private static final double ONE = 0.7;

    private static final double AGAIN = 0.03;

    private final Supplier<List<InetSocketAddress>> addresses;
    private final String name;
    private int at;
    private Socket socket;
    private FrameCodec frames;
    private long calls;
    private long session;
    private long number;

    /** How a call ended; {@code end}: done, refused or unknown. */
    public record Outcome(String end, ObjectNode answer) {

        public boolean done() {
            return end.equals("done");
        }

        public boolean unknown() {
            return end.equals("unknown");
        }

        public String reason() {
            return answer == null ? "" : answer.path("reason").asText();
        }

        public String text() {
            return answer == null ? "" : answer.path("text").asText();
        }
    }

    public RecordClient(List<InetSocketAddress> addresses, String name) {
        this(() -> addresses, name);
    }

    /** {@code addresses}: where the instances are now; asked from the thread that asks. */
    public RecordClient(Supplier<List<InetSocketAddress>> addresses, String name) {
        this.addresses = addresses;
        this.name = name;
    }

    public static ObjectNode call(String name) {
        return JsonMessages.newObject().put("call", name);
    }

    /**
     * A change of one key; {@code revision} negative: whatever it was; {@code value} null: takes it
     * away.
     */
    public static ObjectNode put(String key, String value, long revision) {
        ObjectNode call = call("change");
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
    public Outcome ask(ObjectNode call, double within) {
        long until = System.nanoTime() + (long) (within * 1e9);
        if (call.path("call").asText().equals("change") && !call.has("session")) {
            if (session == 0) {
                Outcome opened = send(call("open").put("client", name).put("seconds", 30), until);
                if (!opened.done()) {
                    return new Outcome(
                            "refused",
                            JsonMessages.newObject()
                                    .put("reason", "no-leader")
                                    .put(
                                            "text",
                                            "no session could be " + "opened: " + opened.text()));
                }
                session = opened.answer().path("number").asLong();
                number = 0;
            }
            number++;
            call.put("session", session).put("number", number).put("open", number);
            Outcome outcome = send(call, until);
            if (outcome.unknown() || outcome.reason().equals("no-session")) {
                session = 0;
            }
            return outcome;
        }
        return send(call, until);
    }

    private Outcome send(ObjectNode call, long until) {
        boolean mayHaveBeen = false;
        ObjectNode last =
                JsonMessages.newObject()
                        .put("reason", "no-answer")
                        .put("text", "no instance answered");
        while (System.nanoTime() < until) {
            try {
                ObjectNode answer =
                        once(call, Math.min(until, System.nanoTime() + (long) (ONE * 1e9)));
                String end = answer.path("end").asText();
                String reason = answer.path("reason").asText();
                if (end.equals("done")) {
                    return new Outcome(end, answer);
                }
                last = answer;
                if (end.equals("unknown")) {
                    mayHaveBeen = true;
                } else if (!reason.equals("not-leader") && !reason.equals("busy")) {
                    // Its session's end says nothing of what was sent before that.
                    boolean open =
                            mayHaveBeen
                                    && (reason.equals("no-session") || reason.equals("forgotten"));
                    return new Outcome(open ? "unknown" : "refused", answer);
                }
                if (!reason.equals("busy")) {
                    next();
                }
            } catch (NotSent e) {
                last.put("text", e.getMessage());
                next();
            } catch (IOException e) {
                mayHaveBeen = true;
                last.put("text", "no answer: " + e.getMessage());
                next();
            }
            pause(until);
        }
        boolean change =
                !List.of("get", "list", "status", "watch").contains(call.path("call").asText());
        return new Outcome(mayHaveBeen && change ? "unknown" : "refused", last);
    }

    private static void pause(long until) {
        try {
            Thread.sleep(
                    Math.max(
                            0,
                            Math.min(
                                    (long) (AGAIN * 1000),
                                    (until - System.nanoTime()) / 1_000_000)));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void next() {
        close();
        at++;
    }

    /** Nothing of the call has left this program. */
    private static final class NotSent extends IOException {

        private static final long serialVersionUID = 1;

        NotSent(String message) {
            super(message);
        }
    }

    /** Asks the instance whose turn it is. */
    private ObjectNode once(ObjectNode call, long until) throws IOException {
        if (socket == null) {
            List<InetSocketAddress> known = addresses.get();
            if (known.isEmpty()) {
                throw new NotSent("no instance is known");
            }
            InetSocketAddress address = known.get(at % known.size());
            Socket fresh = new Socket();
            try {
                fresh.connect(address, left(until));
                fresh.setTcpNoDelay(true);
            } catch (IOException e) {
                fresh.close();
                throw new NotSent("nobody is at " + address);
            }
            socket = fresh;
            frames = new FrameCodec();
        }
        long id = ++calls;
        call.put("id", id).put("version", 1);
        socket.getOutputStream()
                .write(FrameCodec.encodeToArray(FrameCodec.CALL, JsonMessages.encode(call)));
        InputStream in = socket.getInputStream();
        List<byte[]> pieces = new ArrayList<>();
        byte[] buffer = new byte[16 << 10];
        while (true) {
            for (byte[] each : pieces) {
                ObjectNode answer = answer(each);
                if (answer.path("id").asLong() == id) {
                    return answer;
                }
            }
            pieces.clear();
            socket.setSoTimeout(left(until));
            int many = in.read(buffer);
            if (many < 0) {
                throw new IOException("the connection ended");
            }
            try {
                frames.decode(ByteBuffer.wrap(buffer, 0, many), pieces::add);
            } catch (FrameCodec.MalformedFrameException e) {
                throw new IOException(e.getMessage());
            }
        }
    }

    private static ObjectNode answer(byte[] piece) throws IOException {
        try {
            return JsonMessages.decodeFrame(piece);
        } catch (FrameCodec.MalformedFrameException e) {
            throw new IOException(e.getMessage());
        }
    }

    private static int left(long until) throws SocketTimeoutException {
        long left = (until - System.nanoTime()) / 1_000_000;
        if (left <= 0) {
            throw new SocketTimeoutException("no answer in time");
        }
        return (int) left;
    }

    /** Asks one instance itself, whoever leads; null where it does not answer in time. */
    public static ObjectNode askOne(InetSocketAddress address, ObjectNode call, double within) {
        try (RecordClient one = new RecordClient(List.of(address), "")) {
            return one.once(call, System.nanoTime() + (long) (within * 1e9));
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
