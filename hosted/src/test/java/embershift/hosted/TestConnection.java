package embershift.hosted;

import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.door.FrameCodec;
import embershift.door.JsonMessages;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;

/** A connection to an instance, as of a caller or a node. */
final class TestConnection implements AutoCloseable {

    private static final int READ_TIMEOUT_MS = 10_000;

    private final Socket socket;
    private final FrameCodec codec = new FrameCodec();
    private final Deque<byte[]> frames = new ArrayDeque<>();
    private long lastCallId;

    TestConnection(int port) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(READ_TIMEOUT_MS);
    }

    byte[] nextFrame() throws Exception {
        byte[] buffer = new byte[1 << 16];
        while (frames.isEmpty()) {
            int read = socket.getInputStream().read(buffer);
            if (read < 0) {
                return null;
            }
            codec.decode(ByteBuffer.wrap(buffer, 0, read), frames::add);
        }
        return frames.remove();
    }

    void send(ByteBuffer frame) throws IOException {
        byte[] bytes = new byte[frame.remaining()];
        frame.get(bytes);
        socket.getOutputStream().write(bytes);
    }

    ObjectNode call(ObjectNode call) throws Exception {
        send(
                JsonMessages.encodeFrame(
                        FrameCodec.CALL, call.put("id", ++lastCallId).put("version", 1)));
        return JsonMessages.decodeFrame(nextFrame());
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    void continueFromCallId(long id) {
        lastCallId = id;
    }
}
