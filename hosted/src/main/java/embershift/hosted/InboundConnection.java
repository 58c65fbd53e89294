package embershift.hosted;

import static net.logstash.logback.argument.StructuredArguments.kv;

import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.door.FrameCodec;
import embershift.door.JsonMessages;
import embershift.raft.MalformedBytesException;
import embershift.raft.MemberId;
import embershift.raft.RaftMessageCodec;
import embershift.transport.TcpConnection;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** An accepted connection: of another instance, a node or a caller. */
final class InboundConnection implements TcpConnection.Listener, NodeConnections.Channel {
    private static final Logger LOG = LoggerFactory.getLogger(InboundConnection.class);
    private static final int MAX_CONSECUTIVE_DROPS = 20;

    /** Calls of one connection that may be unanswered; clients make one after the other. */
    private static final int MAX_OPEN_CALLS = 64;

    /** Frames handled in a row, and the time for that, before other connections get their turn. */
    private static final int MAX_FRAMES_PER_TURN = 64;

    private static final double TURN_SECONDS = 0.005;

    private final Instance instance;
    private final TcpConnection connection;
    private final FrameCodec frames = new FrameCodec();
    private MemberId peer;
    private String peerName = "";
    private String peerAddress = "";
    private NodeConnections.NodeConnection node;
    private int consecutiveDrops;

    /** Whether no frames are handled at present, because of unread answers or others' turns. */
    private boolean isPaused;

    /** Whether this side has ended the connection, and only unsent messages keep it open. */
    private boolean isEnding;

    private final Set<Long> openCallIds = new LinkedHashSet<>();

    InboundConnection(Instance instance, TcpConnection connection) {
        this.instance = instance;
        this.connection = connection;
        instance.inboundConnections().addCaller(this);
        connection.setListener(this);
    }

    @Override
    public void received(ByteBuffer bytes) {
        if (isPaused) {
            // Not reading: these are the last bytes of a connection that is lost.
            return;
        }
        frames.append(bytes);
        handleFrames();
    }

    /** Handles complete frames, until this turn is over or answers are not taken. */
    private void handleFrames() {
        instance.runGuarded(instance::catchUpTicks);
        InboundConnections connections = instance.inboundConnections();
        double turnStartedAt = instance.now();
        try {
            for (int handled = 0; !isEnding && !connection.isClosed(); handled++) {
                if (connection.hasPendingWrites()) {
                    pause();
                    break;
                }
                if (handled == MAX_FRAMES_PER_TURN
                        || instance.now() - turnStartedAt > TURN_SECONDS) {
                    pause();
                    instance.executeLater(this::resume);
                    break;
                }
                byte[] frame = frames.next();
                if (frame == null) {
                    break;
                }
                connections.frameCompleted(this);
                instance.runGuarded(() -> handleFrame(frame));
            }
        } catch (FrameCodec.MalformedFrameException e) {
            instance.count("connections with unreadable bytes");
            close();
        }
        if (!isEnding && !connection.isClosed()) {
            connections.recordIncompleteFrame(this, frames.allocatedBytes(), instance.now());
        }
    }

    private void pause() {
        isPaused = true;
        connection.setReading(false);
    }

    private void resume() {
        if (isPaused && !connection.isClosed() && !connection.hasPendingWrites()) {
            isPaused = false;
            connection.setReading(true);
            handleFrames();
        }
    }

    @Override
    public void flushed() {
        instance.inboundConnections().recordUnreadAnswers(this, 0, instance.now());
        resume();
    }

    private void handleFrame(byte[] frame) {
        if (connection.isClosed() || instance.tasks() == null) {
            return;
        }
        try {
            switch (frame[0]) {
                case FrameCodec.HANDSHAKE -> handleHandshake(Handshake.decode(frame));
                case FrameCodec.MESSAGE -> handleRaftMessage(frame);
                case FrameCodec.CALL -> CallHandler.handle(instance, this, frame);
                case FrameCodec.NODE -> handleNodeMessage(JsonMessages.decodeFrame(frame));
                default ->
                        throw new FrameCodec.MalformedFrameException(
                                "unknown frame type " + frame[0]);
            }
        } catch (FrameCodec.MalformedFrameException | MalformedBytesException e) {
            instance.count("connections with unreadable bytes");
            close();
        }
    }

    private void handleNodeMessage(ObjectNode message) throws FrameCodec.MalformedFrameException {
        if (node == null && message.path("kind").asText().equals("here")) {
            if (!instance.inboundConnections().becomeNode(this)) {
                instance.count("nodes refused as too many");
                close();
                return;
            }
            node = instance.tasks().nodes().handleHello(this, message);
        } else if (node != null) {
            instance.tasks().nodes().handleMessage(node, message);
        } else {
            throw new FrameCodec.MalformedFrameException(
                    "first message of a node is not its registration");
        }
    }

    @Override
    public void sendToNode(ObjectNode message) {
        if (connection.isClosed()) {
            return;
        }
        if (connection.hasPendingWrites()
                || !connection.write(JsonMessages.encodeFrame(FrameCodec.ORDER, message))) {
            instance.count("words to nodes dropped");
            // A dropped message is repeated later, or the node reconnects after the close.
            consecutiveDrops++;
            if (consecutiveDrops > MAX_CONSECUTIVE_DROPS) {
                close();
            }
        } else {
            consecutiveDrops = 0;
            recordUnreadAnswers();
        }
    }

    @Override
    public void closeGracefully() {
        isEnding = true;
        instance.inboundConnections().remove(this);
        connection.closeGracefully();
    }

    private void handleHandshake(Handshake handshake) {
        String rejection = rejectionReason(handshake);
        if (rejection != null) {
            instance.count("instances refused");
            LOG.warn(
                    "refused",
                    kv("name", handshake.senderName()),
                    kv("id", handshake.sender().toString()),
                    kv("why", rejection));
            connection.write(
                    FrameCodec.encode(
                            FrameCodec.HANDSHAKE_REJECTED,
                            rejection.getBytes(StandardCharsets.UTF_8)));
            closeGracefully();
            return;
        }
        if (handshake.recipient().number() != 0) {
            if (instance.identity().group() == 0 && !instance.joinGroup(handshake.group())) {
                close();
                return;
            }
            peer = handshake.sender();
            peerName = handshake.senderName();
            peerAddress = handshake.senderAddress();
            instance.inboundConnections().becomePeer(peer, this, instance.members());
        }
        connection.write(
                FrameCodec.encode(
                        FrameCodec.HANDSHAKE_ACCEPTED,
                        Handshake.of(
                                        instance.identity().group(),
                                        instance.identity().id(),
                                        instance.settings().name(),
                                        handshake.sender(),
                                        instance.settings().advertisedAddress())
                                .encode()));
    }

    private String rejectionReason(Handshake handshake) {
        if (Handshake.negotiatedVersion(handshake.oldestVersion(), handshake.newestVersion())
                == 0) {
            return "versions "
                    + handshake.oldestVersion()
                    + " to "
                    + handshake.newestVersion()
                    + " are not known here, but "
                    + Handshake.OLDEST_VERSION
                    + " to "
                    + Handshake.NEWEST_VERSION;
        }
        if (handshake.recipient().number() == 0) {
            return null;
        }
        if (!handshake.recipient().equals(instance.identity().id())) {
            return "here is " + instance.identity().id() + ", not " + handshake.recipient();
        }
        if (instance.identity().group() != 0 && handshake.group() != instance.identity().group()) {
            return "of group "
                    + Long.toHexString(handshake.group())
                    + ", here is "
                    + Long.toHexString(instance.identity().group());
        }
        return handshake.group() == 0 ? "the sender belongs to no group" : null;
    }

    private void handleRaftMessage(byte[] frame) throws FrameCodec.MalformedFrameException {
        if (peer == null || instance.inboundConnections().peer(peer) != this) {
            throw new FrameCodec.MalformedFrameException("Raft message without a handshake");
        }
        instance.count("messages taken");
        instance.replica()
                .receive(
                        instance.now(),
                        peer,
                        RaftMessageCodec.decode(Arrays.copyOfRange(frame, 1, frame.length)));
    }

    String peerName() {
        return peerName;
    }

    String peerAddress() {
        return peerAddress;
    }

    void sendAnswer(ObjectNode answer) {
        if (connection.isClosed()) {
            return;
        }
        if (!connection.write(FrameCodec.encode(FrameCodec.ANSWER, JsonMessages.encode(answer)))) {
            // The client has left: what it has sent and nobody has read is not carried out.
            abandon("connections lost with answers");
            return;
        }
        recordUnreadAnswers();
    }

    private void recordUnreadAnswers() {
        if (!isEnding) {
            instance.inboundConnections()
                    .recordUnreadAnswers(this, connection.pendingBytes(), instance.now());
        }
    }

    /** Closes this connection from within a call of the replica or of its group of connections. */
    void abandon(String counter) {
        if (!connection.isClosed()) {
            instance.count(counter);
            connection.close();
            instance.executeLater(this::close);
        }
    }

    boolean hasOpenCalls() {
        return !openCallIds.isEmpty();
    }

    long registerCall(CallHandler.ResultListener listener) {
        long callId = instance.registerCall(listener);
        openCallIds.add(callId);
        if (openCallIds.size() > MAX_OPEN_CALLS) {
            abandon("callers with too many unanswered calls");
        }
        return callId;
    }

    void callAnswered(long callId) {
        openCallIds.remove(callId);
    }

    @Override
    public void close() {
        instance.inboundConnections().remove(this);
        if (node != null) {
            instance.tasks().nodes().remove(node);
        }
        openCallIds.forEach(
                callId -> {
                    instance.cancelCall(callId);
                });
        openCallIds.clear();
        connection.close();
    }

    @Override
    public void inputEnded() {
        close();
    }

    @Override
    public void connectionLost() {
        close();
    }
}
