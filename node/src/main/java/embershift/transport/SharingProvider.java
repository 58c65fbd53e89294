package embershift.transport;

import java.io.IOException;
import java.net.ProtocolFamily;
import java.net.SocketOption;
import java.net.StandardSocketOptions;
import java.nio.channels.Channel;
import java.nio.channels.DatagramChannel;
import java.nio.channels.NetworkChannel;
import java.nio.channels.Pipe;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.channels.spi.AbstractSelector;
import java.nio.channels.spi.SelectorProvider;

/**
 * The platform's channels, with SO_REUSEPORT set on those that are to share their address: that
 * must be done between open and bind, where XNIO lets nobody in. Public, as the platform makes it
 * by its name.
 */
public final class SharingProvider extends SelectorProvider {

    private static final String PROPERTY = "java.nio.channels.spi.SelectorProvider";
    private static final ThreadLocal<Boolean> SHARED = ThreadLocal.withInitial(() -> false);

    private final SelectorProvider platform;

    /**
     * Fails where the platform's own provider is not open to this program (Add-Exports in the
     * manifest).
     */
    public SharingProvider() throws ReflectiveOperationException {
        platform =
                (SelectorProvider)
                        Class.forName("sun.nio.ch.DefaultSelectorProvider")
                                .getMethod("get")
                                .invoke(null);
    }

    /** Opens something that binds. */
    interface ChannelOpener<T> {
        T open() throws IOException;
    }

    /**
     * Has the platform use this provider from its first channel on; left as it is where that can't
     * be.
     */
    static void install() {
        if (System.getProperty(PROPERTY) == null) {
            try {
                new SharingProvider();
                System.setProperty(PROPERTY, SharingProvider.class.getName());
            } catch (ReflectiveOperationException e) {
                // Then addresses are not shared, and a second process says that it can't listen.
            }
        }
    }

    /** Opens with SO_REUSEPORT on whatever binds, if {@code shared}. */
    static <T> T openShared(boolean shared, ChannelOpener<T> opening) throws IOException {
        SHARED.set(shared);
        try {
            return opening.open();
        } finally {
            SHARED.remove();
        }
    }

    private static <T extends NetworkChannel> T configure(T channel) throws IOException {
        SocketOption<Boolean> option = StandardSocketOptions.SO_REUSEPORT;
        if (SHARED.get() && channel.supportedOptions().contains(option)) {
            channel.setOption(option, true);
        }
        return channel;
    }

    @Override
    public DatagramChannel openDatagramChannel() throws IOException {
        return configure(platform.openDatagramChannel());
    }

    @Override
    public DatagramChannel openDatagramChannel(ProtocolFamily family) throws IOException {
        return configure(platform.openDatagramChannel(family));
    }

    @Override
    public Pipe openPipe() throws IOException {
        return platform.openPipe();
    }

    @Override
    public AbstractSelector openSelector() throws IOException {
        return platform.openSelector();
    }

    @Override
    public ServerSocketChannel openServerSocketChannel() throws IOException {
        return configure(platform.openServerSocketChannel());
    }

    @Override
    public ServerSocketChannel openServerSocketChannel(ProtocolFamily family) throws IOException {
        return configure(platform.openServerSocketChannel(family));
    }

    @Override
    public SocketChannel openSocketChannel() throws IOException {
        return platform.openSocketChannel();
    }

    @Override
    public SocketChannel openSocketChannel(ProtocolFamily family) throws IOException {
        return platform.openSocketChannel(family);
    }

    @Override
    public Channel inheritedChannel() throws IOException {
        return platform.inheritedChannel();
    }
}
