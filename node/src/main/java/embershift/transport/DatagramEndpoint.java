package embershift.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.channels.MulticastMessageChannel;
import org.xnio.channels.SocketAddressBuffer;

/** A socket for datagrams. */
public final class DatagramEndpoint {

    /** Room for one byte more than may come, so that a longer one shows. */
    private static final int BUFFER_BYTES = 2048;

    /** What hears of each datagram. */
    public interface Handler {
        void received(InetSocketAddress from, byte[] content);
    }

    private final MulticastMessageChannel channel;
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
    private final SocketAddressBuffer addresses = new SocketAddressBuffer();

    DatagramEndpoint(MulticastMessageChannel channel, Handler arrival) {
        this.channel = channel;
        channel.getReadSetter().set(ready -> receive(arrival));
        channel.resumeReads();
    }

    private void receive(Handler arrival) {
        try {
            while (true) {
                buffer.clear();
                addresses.setSourceAddress(null);
                if (channel.receiveFrom(addresses, buffer) <= 0
                        && addresses.getSourceAddress() == null) {
                    return;
                }
                byte[] content = new byte[buffer.flip().remaining()];
                buffer.get(content);
                arrival.received((InetSocketAddress) addresses.getSourceAddress(), content);
            }
        } catch (IOException e) {
            // A peer's refusal of an earlier datagram may show here; nothing was received.
        }
    }

    public void close() {
        IoUtils.safeClose(channel);
    }

    public InetSocketAddress localAddress() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }

    /** Sends it if the system takes it now; a datagram may be lost anyway. */
    public boolean send(InetSocketAddress to, byte[] content) {
        try {
            return channel.sendTo(to, ByteBuffer.wrap(content));
        } catch (IOException e) {
            return false;
        }
    }
}
