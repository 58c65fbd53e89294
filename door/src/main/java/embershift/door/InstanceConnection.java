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
        void registrationFreed();
    }

    private static final double MIN_BACKOFF_SECONDS = 0.1;
    private static final double MAX_BACKOFF_SECONDS = 2;
    private static final double STUCK_SECONDS = 3;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Registration registration;
    private final Listener listener;
    private final Random random;
    private final Map<Long, TaskId> pendingReads = new LinkedHashMap<>();
    private TcpConnection link;
    private FrameCodec frames;
    private boolean isConnected;
    private boolean isHandshakeSent;
    private boolean isWelcomed;
    private double backoffSeconds = MIN_BACKOFF_SECONDS;
    private double dialNotBefore;
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
    boolean isWelcomed() {
        return isWelcomed;
    }

    /** Dials when it is time to, and drops a connection that is stuck. */
    void tick(double now) {
        if (link == null) {
            if (now >= dialNotBefore) {
                dial(now);
            }
        } else if (isHandshakeStuck(now) || isSendingStuck(now)) {
            drop(now);
        }
    }

    private boolean isHandshakeStuck(double now) {
        return !isWelcomed
                && (isHandshakeSent || !isConnected)
                && now - handshakeStartedAt > STUCK_SECONDS;
    }

    private boolean isSendingStuck(double now) {
        return link.hasPendingWrites() && now - lastReceivedAt > STUCK_SECONDS;
    }

    private void dial(double now) {
        frames = new FrameCodec();
        isConnected = false;
        isHandshakeSent = false;
        isWelcomed = false;
        instanceTime = 0;
        pendingReads.clear();
        handshakeStartedAt = now;
        lastReceivedAt = now;
        link = loop.connect(address, this);
    }

    private void drop(double now) {
        if (link != null) {
            link.close();
            link = null;
        }
        isWelcomed = false;
        if (registration.connectionLost(this)) {
            listener.registrationFreed();
        }
        // Others lost theirs at the same time: the jitter spreads their attempts.
        backoffSeconds = Math.min(MAX_BACKOFF_SECONDS, 2 * backoffSeconds);
        dialNotBefore = now + backoffSeconds * (0.5 + random.nextDouble());
    }

    /** Sends the first message, once the connection is up and this node may register on it. */
    void handshake() {
        if (isHandshakeSent || !isConnected || link == null || !registration.mayHandshake(this)) {
            return;
        }
        isHandshakeSent = true;
        handshakeStartedAt = loop.now();
        registration.handshakeSent(this);
        link.write(
                JsonMessages.frame(
                        FrameCodec.NODE, NodeMessages.handshake(registration, loop.now())));
    }

    /** Sends a message, with the instance's latest clock; drops it while the connection is full. */
    void send(ObjectNode message) {
        // By that the instance tells how old this message is, by its own clock alone.
        message.put("echo", instanceTime);
        if (isWelcomed
                && link != null
                && !link.hasPendingWrites()
                && !link.write(JsonMessages.frame(FrameCodec.NODE, message))) {
            drop(loop.now());
        }
    }

    /** Asks for a task's latest fencing token; an answer may never come. */
    void readFencingToken(TaskId task) {
        if (link != null && isConnected) {
            lastCallId++;
            pendingReads.put(lastCallId, task);
            link.write(
                    JsonMessages.frame(
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
        link = null;
        drop(loop.now());
    }

    @Override
    public void received(ByteBuffer bytes) {
        lastReceivedAt = loop.now();
        try {
            frames.take(bytes, this::receivedFrame);
        } catch (FrameCodec.MalformedFrameException e) {
            drop(loop.now());
        }
    }

    private void receivedFrame(byte[] frame) {
        try {
            if (frame[0] == FrameCodec.ORDER) {
                receivedMessage(InstanceMessage.decode(JsonMessages.read(frame)));
            } else if (frame[0] == FrameCodec.ANSWER) {
                receivedAnswer(JsonMessages.read(frame));
            }
        } catch (FrameCodec.MalformedFrameException e) {
            drop(loop.now());
        }
    }

    private void receivedMessage(InstanceMessage message) {
        instanceTime = Math.max(instanceTime, message.instanceTime());
        if (message.content() instanceof InstanceMessage.Welcome) {
            isWelcomed = true;
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
        drop(loop.now());
    }

    @Override
    public void connectionLost() {
        drop(loop.now());
    }
}
