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
    private final Instance instance;
    private final TcpConnection connection;
    private final FrameCodec frames = new FrameCodec();
    private MemberId peer;
    private String peerName = "";
    private String peerAddress = "";
    private NodeConnections.NodeConnection node;
    private int consecutiveDrops;
    private final Set<Long> openCallIds = new LinkedHashSet<>();

    InboundConnection(Instance instance, TcpConnection connection) {
        this.instance = instance;
        this.connection = connection;
        instance.callers().add(this);
        connection.setListener(this);
    }

    @Override
    public void received(ByteBuffer bytes) {
        instance.runGuarded(instance::catchUpTicks);
        try {
            frames.decode(bytes, frame -> instance.runGuarded(() -> handleFrame(frame)));
        } catch (FrameCodec.MalformedFrameException e) {
            instance.count("connections with unreadable bytes");
            close();
        }
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
            instance.callers().remove(this);
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
        }
    }

    @Override
    public void closeGracefully() {
        instance.callers().remove(this);
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
            instance.callers().remove(this);
            connection.closeGracefully();
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
            instance.callers().remove(this);
            InboundConnection previous = instance.inboundPeers().put(peer, this);
            if (previous != null) {
                // What it still holds is from an earlier run of the sender, or the sender
                // abandoned it.
                previous.close();
            }
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
        if (peer == null || instance.inboundPeers().get(peer) != this) {
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
        if (!connection.isClosed()) {
            connection.write(FrameCodec.encode(FrameCodec.ANSWER, JsonMessages.encode(answer)));
        }
    }

    long registerCall(CallHandler.ResultListener listener) {
        long callId = instance.registerCall(listener);
        openCallIds.add(callId);
        return callId;
    }

    void callAnswered(long callId) {
        openCallIds.remove(callId);
    }

    @Override
    public void close() {
        instance.callers().remove(this);
        if (peer != null) {
            instance.inboundPeers().remove(peer, this);
        }
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
