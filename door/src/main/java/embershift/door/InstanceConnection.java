package embershift.door;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.fleet.lease.FencingToken;
import embershift.fleet.lease.TaskId;
import embershift.transport.EventLoop;
import embershift.transport.TcpConnection;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;

/**
 * A node's connection to one control-plane instance, dialled again with backoff when it is lost.
 */
final class InstanceConnection implements TcpConnection.Listener {

    /** Receives what comes over the connections. All calls come on the node's loop. */
    interface Listener {

        /** An instance has sent a message. */
        void received(InstanceConnection connection, InstanceMessage message);

        /** An instance has told a task's latest fencing token, read after this node's start. */
        void fencingTokenRead(TaskId task, FencingToken latest);

        /** Other connections may ask for an incarnation now. */
        void registrationAvailable();
    }

    private static final double MIN_BACKOFF_SECONDS = 0.1;
    private static final double MAX_BACKOFF_SECONDS = 2;
    private static final double STALL_TIMEOUT_SECONDS = 3;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Registration registration;
    private final Listener listener;
    private final Random random;
    private final Map<Long, TaskId> pendingReads = new LinkedHashMap<>();
    private TcpConnection connection;
    private FrameCodec frames;
    private boolean isConnected;
    private boolean isHandshakeSent;
    private boolean isAccepted;
    private double backoffSeconds = MIN_BACKOFF_SECONDS;
    private double nextConnectAt;
    private double handshakeStartedAt;
    private double lastReceivedAt;
    private double instanceTime;
    private long lastCallId;

    InstanceConnection(
            EventLoop loop,
            InetSocketAddress address,
            Registration registration,
            Listener listener,
            Random random) {
        this.loop = loop;
        this.address = address;
        this.registration = registration;
        this.listener = listener;
        this.random = random;
    }

    /** Whether the instance has accepted this node. */
    boolean isAccepted() {
        return isAccepted;
    }

    /** Dials when it is time to, and drops a connection that is stuck. */
    void tick(double now) {
        if (connection == null) {
            if (now >= nextConnectAt) {
                connect(now);
            }
        } else if (isHandshakeStalled(now) || isSendStalled(now)) {
            closeAndBackOff(now);
        }
    }

    private boolean isHandshakeStalled(double now) {
        return !isAccepted
                && (isHandshakeSent || !isConnected)
                && now - handshakeStartedAt > STALL_TIMEOUT_SECONDS;
    }

    private boolean isSendStalled(double now) {
        return connection.hasPendingWrites() && now - lastReceivedAt > STALL_TIMEOUT_SECONDS;
    }

    private void connect(double now) {
        frames = new FrameCodec();
        isConnected = false;
        isHandshakeSent = false;
        isAccepted = false;
        instanceTime = 0;
        pendingReads.clear();
        handshakeStartedAt = now;
        lastReceivedAt = now;
        connection = loop.connect(address, this);
    }

    private void closeAndBackOff(double now) {
        if (connection != null) {
            connection.close();
            connection = null;
        }
        isAccepted = false;
        if (registration.connectionLost(this)) {
            listener.registrationAvailable();
        }
        // Others lost theirs at the same time: the jitter spreads their attempts.
        backoffSeconds = Math.min(MAX_BACKOFF_SECONDS, 2 * backoffSeconds);
        nextConnectAt = now + backoffSeconds * (0.5 + random.nextDouble());
    }

    /** Sends the first message, once the connection is up and this node may register on it. */
    void handshake() {
        if (isHandshakeSent
                || !isConnected
                || connection == null
                || !registration.mayHandshake(this)) {
            return;
        }
        isHandshakeSent = true;
        handshakeStartedAt = loop.now();
        registration.handshakeSent(this);
        connection.write(
                JsonMessages.encodeFrame(
                        FrameCodec.NODE, NodeMessages.handshake(registration, loop.now())));
    }

    /** Sends a message, with the instance's latest clock; drops it while the connection is full. */
    void send(ObjectNode message) {
        // By that the instance tells how old this message is, by its own clock alone.
        message.put("echo", instanceTime);
        if (isAccepted
                && connection != null
                && !connection.hasPendingWrites()
                && !connection.write(JsonMessages.encodeFrame(FrameCodec.NODE, message))) {
            closeAndBackOff(loop.now());
        }
    }

    /** Asks for a task's latest fencing token; an answer may never come. */
    void readFencingToken(TaskId task) {
        if (connection != null && isConnected) {
            lastCallId++;
            pendingReads.put(lastCallId, task);
            connection.write(
                    JsonMessages.encodeFrame(
                            FrameCodec.CALL, NodeMessages.readFencingToken(task, lastCallId)));
        }
    }

    @Override
    public void connected() {
        isConnected = true;
        handshake();
    }

    @Override
    public void connectFailed() {
        connection = null;
        closeAndBackOff(loop.now());
    }

    @Override
    public void received(ByteBuffer bytes) {
        lastReceivedAt = loop.now();
        try {
            frames.decode(bytes, this::receivedFrame);
        } catch (FrameCodec.MalformedFrameException e) {
            closeAndBackOff(loop.now());
        }
    }

    private void receivedFrame(byte[] frame) {
        try {
            if (frame[0] == FrameCodec.ORDER) {
                receivedMessage(InstanceMessage.decode(JsonMessages.decodeFrame(frame)));
            } else if (frame[0] == FrameCodec.ANSWER) {
                receivedAnswer(JsonMessages.decodeFrame(frame));
            }
        } catch (FrameCodec.MalformedFrameException e) {
            closeAndBackOff(loop.now());
        }
    }

    private void receivedMessage(InstanceMessage message) {
        instanceTime = Math.max(instanceTime, message.instanceTime());
        if (message.content() instanceof InstanceMessage.Welcome) {
            isAccepted = true;
            backoffSeconds = MIN_BACKOFF_SECONDS;
        }
        listener.received(this, message);
    }

    private void receivedAnswer(JsonNode answer) {
        TaskId task = pendingReads.remove(answer.path("id").asLong());
        if (task != null && answer.path("end").asText().equals("done")) {
            long latest = answer.path("items").path(0).path("revision").asLong();
            listener.fencingTokenRead(task, new FencingToken(latest));
        }
    }

    @Override
    public void inputEnded() {
        closeAndBackOff(loop.now());
    }

    @Override
    public void connectionLost() {
        closeAndBackOff(loop.now());
    }
}
