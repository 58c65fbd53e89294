package embershift.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.channels.MulticastMessageChannel;
import org.xnio.channels.SocketAddressBuffer;

/** A UDP socket. */
public final class DatagramEndpoint {

    /**
     * Larger than the longest valid datagram, so that an oversized one is recognized by its length
     * instead of being truncated to a valid one.
     */
    private static final int BUFFER_BYTES = 2048;

    /** Datagrams received in a row before other sockets are served. */
    private static final int MAX_DATAGRAMS_PER_TURN = 64;

    /** Receives the datagrams that arrive. */
    public interface Handler {
        /** A datagram arrived from this address. */
        void received(InetSocketAddress from, byte[] content);
    }

    private final MulticastMessageChannel channel;
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
    private final SocketAddressBuffer addresses = new SocketAddressBuffer();

    DatagramEndpoint(MulticastMessageChannel channel, Handler handler) {
        this.channel = channel;
        channel.getReadSetter().set(ready -> receive(handler));
        channel.resumeReads();
    }

    private void receive(Handler handler) {
        try {
            // What is left is reported as ready again, after the other sockets.
            for (int i = 0; i < MAX_DATAGRAMS_PER_TURN; i++) {
                buffer.clear();
                addresses.setSourceAddress(null);
                if (channel.receiveFrom(addresses, buffer) <= 0
                        && addresses.getSourceAddress() == null) {
                    return;
                }
                byte[] content = new byte[buffer.flip().remaining()];
                buffer.get(content);
                handler.received((InetSocketAddress) addresses.getSourceAddress(), content);
            }
        } catch (IOException e) {
            // The error may be the ICMP rejection of a datagram sent earlier; nothing was received.
        }
    }

    /** Stops receiving and releases the address. */
    public void close() {
        IoUtils.safeClose(channel);
    }

    /** The address at which datagrams are received. */
    public InetSocketAddress localAddress() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }

    /**
     * Sends a datagram if the kernel accepts it now, and returns whether it did. There is no retry,
     * because UDP may lose a datagram anyway.
     */
    public boolean send(InetSocketAddress to, byte[] content) {
        try {
            return channel.sendTo(to, ByteBuffer.wrap(content));
        } catch (IOException e) {
            return false;
        }
    }
}
