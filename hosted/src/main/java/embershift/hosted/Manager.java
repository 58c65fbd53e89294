package embershift.hosted;

import embershift.fleet.restart.RollingRestart;
import embershift.protocol.LineCodec;
import embershift.protocol.MalformedDataException;
import embershift.transport.EventLoop;
import embershift.transport.TcpConnection;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * Calls whoever starts things anew, one call to a connection: {@code RESTART host|node NAME ID} or
 * {@code VOID ID}. It answers {@code GOING}, {@code DONE}, {@code VOID} or {@code NO reason}, the
 * same for the same id, whoever calls.
 */
final class Manager {

    private static final double PATIENCE = 1;

    private final EventLoop loop;
    private final InetSocketAddress address;

    Manager(EventLoop loop, InetSocketAddress address) {
        this.loop = loop;
        this.address = address;
    }

    /** Hears {@code UNKNOWN} where no answer came: it may have been done, or may be. */
    void call(String line, Consumer<RollingRestart.RestartState> heard) {
        TcpConnection[] link = new TcpConnection[1];
        boolean[] over = new boolean[1];
        EventLoop.Timer[] timer = new EventLoop.Timer[1];
        LineCodec lines = new LineCodec();
        Consumer<RollingRestart.RestartState> end =
                what -> {
                    if (!over[0]) {
                        over[0] = true;
                        timer[0].cancel();
                        link[0].close();
                        heard.accept(what);
                    }
                };
        timer[0] = loop.schedule(PATIENCE, () -> end.accept(RollingRestart.RestartState.UNKNOWN));
        link[0] =
                loop.connect(
                        address,
                        new TcpConnection.Listener() {
                            @Override
                            public void connected() {
                                link[0].write(LineCodec.encode(line));
                            }

                            @Override
                            public void connectFailed() {
                                end.accept(RollingRestart.RestartState.UNKNOWN);
                            }

                            @Override
                            public void received(ByteBuffer bytes) {
                                try {
                                    byte[] answer = lines.next(bytes);
                                    if (answer != null) {
                                        end.accept(read(LineCodec.decode(answer)));
                                    }
                                } catch (MalformedDataException e) {
                                    end.accept(RollingRestart.RestartState.UNKNOWN);
                                }
                            }

                            @Override
                            public void inputEnded() {
                                end.accept(RollingRestart.RestartState.UNKNOWN);
                            }

                            @Override
                            public void connectionLost() {
                                end.accept(RollingRestart.RestartState.UNKNOWN);
                            }
                        });
    }

    private static RollingRestart.RestartState read(String answer) {
        return switch (answer.split(" ")[0].toUpperCase(Locale.ROOT)) {
            case "GOING" -> RollingRestart.RestartState.IN_PROGRESS;
            case "DONE" -> RollingRestart.RestartState.DONE;
            case "VOID" -> RollingRestart.RestartState.CANCELLED;
            default -> RollingRestart.RestartState.UNKNOWN;
        };
    }
}
