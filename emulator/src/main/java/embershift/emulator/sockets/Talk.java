package embershift.emulator.sockets;

import embershift.protocol.LineCodec;
import embershift.protocol.MalformedDataException;
import embershift.transport.TcpConnection;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * A connection as lines in and lines out, with the way in between: each line is late by the way's
 * delay, and while the way is cut in a direction, lines wait there. What a line does comes through
 * {@code heard}; null is the end.
 */
final class Talk implements TcpConnection.Listener {

    /** What lies between this stand-in and the node. */
    interface Way {
        double delay();

        boolean inOpen();

        boolean outOpen();
    }

    private final TcpConnection link;
    private final Pump pump;
    private final embershift.emulator.world.Agenda agenda;
    private final Way way;
    private final Consumer<String> heard;
    private final LineCodec lines = new LineCodec();
    private final Deque<String> heldIn = new ArrayDeque<>();
    private final Deque<Runnable> heldOut = new ArrayDeque<>();
    private double inUntil = Double.NEGATIVE_INFINITY;
    private double outUntil = Double.NEGATIVE_INFINITY;
    private boolean over;

    Talk(
            TcpConnection link,
            Pump pump,
            embershift.emulator.world.Agenda agenda,
            Way way,
            Consumer<String> heard) {
        this.link = link;
        this.pump = pump;
        this.agenda = agenda;
        this.way = way;
        this.heard = heard;
    }

    private static final String END = "\0end";

    @Override
    public void received(ByteBuffer bytes) {
        pump.sync();
        try {
            for (byte[] line = lines.next(bytes); line != null; line = lines.next(bytes)) {
                arrives(LineCodec.decode(line));
            }
        } catch (MalformedDataException e) {
            arrives(END);
        }
    }

    @Override
    public void inputEnded() {
        pump.sync();
        arrives(END);
    }

    @Override
    public void connectionLost() {
        pump.sync();
        arrives(END);
    }

    private void arrives(String line) {
        if (!way.inOpen() || !heldIn.isEmpty()) {
            heldIn.add(line);
            return;
        }
        inUntil = Math.max(inUntil, agenda.now() + way.delay());
        agenda.at(
                inUntil,
                () -> {
                    if (!over) {
                        boolean ends = line.equals(END);
                        over = ends;
                        heard.accept(ends ? null : line);
                    }
                });
    }

    /** The way has changed: what waited goes on, where it is open now. */
    void wayChanged() {
        while (!heldIn.isEmpty() && way.inOpen()) {
            String line = heldIn.remove();
            Deque<String> rest = new ArrayDeque<>(heldIn);
            heldIn.clear();
            arrives(line);
            heldIn.addAll(rest);
        }
        while (!heldOut.isEmpty() && way.outOpen()) {
            Runnable out = heldOut.remove();
            Deque<Runnable> rest = new ArrayDeque<>(heldOut);
            heldOut.clear();
            leaves(out);
            heldOut.addAll(rest);
        }
    }

    private void leaves(Runnable out) {
        if (!way.outOpen() || !heldOut.isEmpty()) {
            heldOut.add(out);
            return;
        }
        outUntil = Math.max(outUntil, agenda.now() + way.delay());
        agenda.at(outUntil, out);
    }

    void say(String line) {
        leaves(() -> link.write(LineCodec.encode(line)));
    }

    /** Bytes as they are: a part of a line, or several. */
    void bytes(String text) {
        leaves(() -> link.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1))));
    }

    /** Ends the connection so that what was said still arrives. */
    void finish() {
        leaves(link::closeGracefully);
    }

    /** Breaks it, after what was said. */
    void reset() {
        leaves(link::reset);
    }

    /** Breaks it at once; nothing more is heard. */
    void resetNow() {
        over = true;
        link.reset();
    }
}
