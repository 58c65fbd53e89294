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
final class RestartManagerClient {

    private static final double CALL_TIMEOUT_SECONDS = 1;

    private final EventLoop loop;
    private final InetSocketAddress address;

    RestartManagerClient(EventLoop loop, InetSocketAddress address) {
        this.loop = loop;
        this.address = address;
    }

    /** Hears {@code UNKNOWN} where no answer came: it may have been done, or may be. */
    void call(String request, Consumer<RollingRestart.RestartState> listener) {
        TcpConnection[] connection = new TcpConnection[1];
        boolean[] isDone = new boolean[1];
        EventLoop.Timer[] timer = new EventLoop.Timer[1];
        LineCodec lines = new LineCodec();
        Consumer<RollingRestart.RestartState> finish =
                state -> {
                    if (!isDone[0]) {
                        isDone[0] = true;
                        timer[0].cancel();
                        connection[0].close();
                        listener.accept(state);
                    }
                };
        timer[0] =
                loop.schedule(
                        CALL_TIMEOUT_SECONDS,
                        () -> finish.accept(RollingRestart.RestartState.UNKNOWN));
        connection[0] =
                loop.connect(
                        address,
                        new TcpConnection.Listener() {
                            @Override
                            public void connected() {
                                connection[0].write(LineCodec.encode(request));
                            }

                            @Override
                            public void connectFailed() {
                                finish.accept(RollingRestart.RestartState.UNKNOWN);
                            }

                            @Override
                            public void received(ByteBuffer bytes) {
                                try {
                                    byte[] answer = lines.next(bytes);
                                    if (answer != null) {
                                        finish.accept(parseAnswer(LineCodec.decode(answer)));
                                    }
                                } catch (MalformedDataException e) {
                                    finish.accept(RollingRestart.RestartState.UNKNOWN);
                                }
                            }

                            @Override
                            public void inputEnded() {
                                finish.accept(RollingRestart.RestartState.UNKNOWN);
                            }

                            @Override
                            public void connectionLost() {
                                finish.accept(RollingRestart.RestartState.UNKNOWN);
                            }
                        });
    }

    private static RollingRestart.RestartState parseAnswer(String answer) {
        return switch (answer.split(" ")[0].toUpperCase(Locale.ROOT)) {
            case "GOING" -> RollingRestart.RestartState.IN_PROGRESS;
            case "DONE" -> RollingRestart.RestartState.DONE;
            case "VOID" -> RollingRestart.RestartState.CANCELLED;
            default -> RollingRestart.RestartState.UNKNOWN;
        };
    }
}
