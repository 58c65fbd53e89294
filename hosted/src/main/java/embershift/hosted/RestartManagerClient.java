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
 * A client of the manager that restarts hosts and nodes, one call per connection: {@code RESTART
 * host|node NAME ID} or {@code VOID ID}. The manager answers {@code GOING}, {@code DONE}, {@code
 * VOID} or {@code NO reason}; the answer depends on the id only, whoever calls.
 */
final class RestartManagerClient {

    private static final double CALL_TIMEOUT_SECONDS = 1;

    private final EventLoop loop;
    private final InetSocketAddress address;

    RestartManagerClient(EventLoop loop, InetSocketAddress address) {
        this.loop = loop;
        this.address = address;
    }

    /**
     * Calls the manager. The listener gets {@code UNKNOWN} if no answer comes: the request may have
     * been carried out, or may be later.
     */
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
