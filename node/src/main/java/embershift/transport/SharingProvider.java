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
 * A selector provider that delegates to the JDK's own and sets SO_REUSEPORT on channels that share
 * their address with other processes. The option must be set between open and bind, and XNIO offers
 * no hook there. The class is public because the JDK instantiates it by name.
 */
public final class SharingProvider extends SelectorProvider {

    private static final String PROPERTY = "java.nio.channels.spi.SelectorProvider";
    private static final ThreadLocal<Boolean> SHARED = ThreadLocal.withInitial(() -> false);

    private final SelectorProvider platform;

    /**
     * Fails if the JDK's default provider is not accessible to this program; the manifest grants
     * access with Add-Exports.
     */
    public SharingProvider() throws ReflectiveOperationException {
        platform =
                (SelectorProvider)
                        Class.forName("sun.nio.ch.DefaultSelectorProvider")
                                .getMethod("get")
                                .invoke(null);
    }

    /** Opens and binds a channel. */
    interface ChannelOpener<T> {
        T open() throws IOException;
    }

    /**
     * Makes this the JDK's selector provider, which must happen before the first channel is opened.
     * Does nothing if a provider is already configured or the default one is not accessible.
     */
    static void install() {
        if (System.getProperty(PROPERTY) == null) {
            try {
                new SharingProvider();
                System.setProperty(PROPERTY, SharingProvider.class.getName());
            } catch (ReflectiveOperationException e) {
                // Addresses are not shared then; a second process reports that it can't listen.
            }
        }
    }

    /** Opens a channel, with SO_REUSEPORT set before it is bound if {@code shared}. */
    static <T> T openShared(boolean shared, ChannelOpener<T> opener) throws IOException {
        SHARED.set(shared);
        try {
            return opener.open();
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
