package embershift.emulator.sockets;

import embershift.emulator.day.Day;
import embershift.emulator.world.Attempt;
import embershift.emulator.world.Caller;
import embershift.emulator.world.Witness.Answer;
import embershift.model.TunnelId;
import embershift.protocol.LineCodec;
import embershift.protocol.MalformedDataException;
import embershift.transport.TcpConnection;
import java.nio.ByteBuffer;
import java.util.Locale;

/**
 * One try of a client on a socket: its first line, the answer, and then a line every two seconds
 * until it ends.
 */
final class ClientStand implements TcpConnection.Listener {

    /** What a line may take more on sockets than in the emulated host. */
    private static final double SLACK = 0.02;

    /** How much longer each limit is on sockets. */
    private static final double LONGER = 0.05;

    private final SocketDay day;
    final Caller caller;
    final Attempt attempt;
    final int node;
    private final Day.Profile profile;
    private final Host at;
    private final LineCodec lines = new LineCodec();
    private TcpConnection link;
    private boolean up;
    private boolean over;
    private int said;
    private double saidAt;
    private double heardAfter = Double.POSITIVE_INFINITY;

    /** Where a tunnel stood before the day began. */
    record Host(String name) {}

    ClientStand(SocketDay day, Caller caller, int node, Host at) {
        this.day = day;
        this.caller = caller;
        this.node = node;
        this.at = at;
        this.profile = day.day().profile().get(caller.profile);
        this.attempt =
                new Attempt(
                        new TunnelId("t" + caller.number + "." + caller.tries++),
                        caller,
                        day.now());
        caller.attempt = attempt;
    }

    void begin() {
        link = day.loop().connect(day.address(node), this);
        if (at == null) {
            day.agenda().in(profile.patience() + LONGER, this::patienceEnds);
        }
    }

    @Override
    public void connected() {
        day.pump().sync();
        if (!over) {
            link.write(
                    LineCodec.encode(
                            String.format(
                                    Locale.ROOT,
                                    "OPEN %s s%d c=%s,d=%d,g=g%d%s%s",
                                    attempt.id.name(),
                                    caller.number,
                                    profile.name(),
                                    Math.round(profile.patience() * 1000),
                                    caller.group,
                                    at == null ? "" : ",at=" + at.name(),
                                    caller.tries > 1 ? ",again=1" : "")));
            if (at == null) {
                day.witness()
                        .taken(
                                day.now(),
                                attempt.id.name(),
                                "n" + node,
                                caller.profile,
                                attempt.began + profile.patience());
            }
        }
    }

    @Override
    public void connectFailed() {
        day.pump().sync();
        if (!over) {
            over = true;
            attempt.answered = true;
            day.retry(this, 0);
        }
    }

    @Override
    public void received(ByteBuffer bytes) {
        day.pump().sync();
        try {
            for (byte[] line = lines.next(bytes); line != null; line = lines.next(bytes)) {
                heard(LineCodec.decode(line));
            }
        } catch (MalformedDataException e) {
            day.trouble("a client heard an endless line");
        }
    }

    @Override
    public void inputEnded() {
        day.pump().sync();
        link.close();
        gone();
    }

    @Override
    public void connectionLost() {
        day.pump().sync();
        gone();
    }

    private void heard(String line) {
        if (up) {
            if (line.equals("MOVE")) {
                day.counts().moves++;
                part(false);
                day.comeAgain(this);
            } else if (line.equals("BYE")) {
                part(true);
            } else if (line.equals("line " + said) && heardAfter == Double.POSITIVE_INFINITY) {
                heardAfter = day.now() - saidAt;
            }
        } else {
            answered(line);
        }
    }

    private void answered(String line) {
        boolean opened = line.startsWith("UP ");
        Answer answer =
                opened
                        ? Answer.OPENED
                        : line.startsWith("BUSY") ? Answer.DECLINED : Answer.CLOSED_WITH_ERROR;
        if (at == null) {
            day.witness().answered(day.now(), attempt.id.name(), answer);
        }
        if (attempt.answered) {
            return;
        }
        attempt.answered = true;
        if (opened) {
            up = true;
            day.opened(this);
            if (at == null) {
                say();
            }
        } else if (at != null) {
            day.notStanding(this);
        } else if (answer == Answer.DECLINED) {
            day.counts().declined++;
            day.retry(this, line.length() > 5 ? Double.parseDouble(line.substring(5)) / 1000 : 0);
        } else {
            day.counts().closedWithError++;
            if (profile.repeat() == Day.Repeat.ONCE_ONLY) {
                caller.over = true;
            } else {
                day.retry(this, 0);
            }
        }
    }

    private void say() {
        if (!up) {
            return;
        }
        settle();
        said++;
        saidAt = day.now();
        heardAfter = Double.POSITIVE_INFINITY;
        link.write(LineCodec.encode("line " + said));
        day.agenda().in(SocketDay.LINES, this::say);
    }

    /**
     * What stands when the day begins is served from then on, and says its lines in turn with the
     * others.
     */
    void dayBegins(double firstLineIn) {
        said = 1;
        saidAt = day.now();
        heardAfter = 0;
        day.agenda().in(firstLineIn, this::say);
    }

    /**
     * Whether the time since the last line was well served: by when that line was back. The way is
     * not counted.
     */
    void settle() {
        if (said > 0
                && heardAfter <= profile.message() + 2 * day.day().network().between()[1] + SLACK) {
            day.service().serves(caller.profile, caller.participant, saidAt, day.now(), 1);
        }
    }

    private void part(boolean fulfilled) {
        settle();
        up = false;
        over = true;
        attempt.left = true;
        caller.over |= fulfilled;
        link.close();
        day.parted(this);
    }

    /** The client drops its connection. */
    void drop() {
        if (up) {
            part(false);
        }
    }

    private void gone() {
        if (over) {
            return;
        }
        over = true;
        if (up) {
            settle();
            up = false;
            attempt.left = true;
            day.parted(this);
            if (day.now() >= caller.ends) {
                caller.over = true;
            } else {
                day.counts().breaks++;
                day.comeAgain(this);
            }
        } else if (!attempt.answered) {
            attempt.answered = true;
            if (at != null) {
                day.notStanding(this);
                return;
            }
            day.witness().gaveUp(day.now(), attempt.id.name(), day.excuses(node, attempt.began));
            day.counts().unanswered++;
            day.retry(this, 0);
        }
    }

    private void patienceEnds() {
        if (!attempt.answered && !over) {
            over = true;
            attempt.answered = true;
            day.counts().unanswered++;
            day.witness().gaveUp(day.now(), attempt.id.name(), day.excuses(node, attempt.began));
            link.reset();
            day.retry(this, 0);
        }
    }
}
