package embershift.emulator.sockets;

import embershift.emulator.world.Attempt;
import embershift.emulator.world.Host;
import embershift.transport.EventLoop;
import embershift.transport.TcpConnection;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * A host on sockets: the emulator's host does the work, this one talks. It listens once for each
 * node, so that it knows which of them speaks and can be cut off from it alone.
 */
final class HostStand {

    private final SocketDay day;
    final Host host;
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final List<EventLoop.Acceptor> listening = new ArrayList<>();
    private final Set<Side> sides = new LinkedHashSet<>();

    HostStand(SocketDay day, Host host) throws IOException {
        this.day = day;
        this.host = host;
        for (int node = 0; node < day.day().fleet().nodes(); node++) {
            addresses.add(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            listening.add(null);
        }
        listen();
    }

    private void listen() throws IOException {
        for (int i = 0; i < addresses.size(); i++) {
            if (listening.get(i) == null) {
                int node = i;
                EventLoop.Acceptor one =
                        day.loop()
                                .listen(addresses.get(i), () -> true, link -> accepted(link, node));
                listening.set(i, one);
                addresses.set(i, one.localAddress());
            }
        }
    }

    /** Connections are refused from now on. */
    private void deafen() {
        for (int i = 0; i < listening.size(); i++) {
            if (listening.get(i) != null) {
                listening.get(i).close();
                listening.set(i, null);
            }
        }
    }

    /** Where that node finds it. */
    String address(int node) {
        return PeerRelay.text(addresses.get(node));
    }

    private void accepted(TcpConnection link, int node) {
        day.pump().sync();
        if (host.refusing) {
            link.setListener(
                    new Talk(link, day.pump(), day.agenda(), day.way(host, node), line -> {}));
            link.reset();
            return;
        }
        Side side = new Side(link, node);
        sides.add(side);
        link.setListener(side.talk);
    }

    void wayChanged() {
        sides.forEach(side -> side.talk.wayChanged());
    }

    /**
     * Its program ends with resets and refuses, or the machine falls silent: what comes then is
     * never read.
     */
    void stop(boolean silent) {
        host.stop(silent);
        if (!silent) {
            deafen();
        }
        for (Side side : List.copyOf(sides)) {
            if (!silent) {
                side.talk.resetNow();
                sides.remove(side);
            }
        }
    }

    void start() {
        // What hung on the program before breaks now that the machine answers again.
        sides.forEach(side -> side.talk.resetNow());
        sides.clear();
        host.start(false);
        try {
            listen();
        } catch (IOException e) {
            day.trouble("host " + host.name + " can't listen again: " + e.getMessage());
        }
    }

    /** The sides of tunnels that stand here. */
    List<Side> standing() {
        return sides.stream().filter(side -> side.up).toList();
    }

    /** One connection from a node. */
    final class Side {
        final Talk talk;
        private final int node;
        private final int launch = host.launches();
        private Attempt attempt;
        private boolean up;
        private boolean closed;

        Side(TcpConnection link, int node) {
            this.node = node;
            this.talk = new Talk(link, day.pump(), day.agenda(), day.way(host, node), this::heard);
        }

        private boolean dead() {
            return launch != host.launches() || !host.runs();
        }

        private void heard(String line) {
            if (line == null) {
                ended();
            } else if (!dead()) {
                if (line.equals("PING") || line.equals("STATS")) {
                    probe(line.equals("STATS"));
                } else if (attempt == null) {
                    open(line);
                } else if (up) {
                    echo(line);
                }
            }
        }

        private void probe(boolean wantsFigures) {
            host.probed();
            talk.say(
                    "PONG"
                            + (wantsFigures
                                    ? String.format(
                                            Locale.ROOT,
                                            " inflight=%d,queue=%d,x0=%.4f",
                                            host.reportedTunnels(),
                                            host.reportedQueue(),
                                            host.reportedLoad())
                                    : ""));
        }

        private void open(String line) {
            String[] parts = line.split(" ");
            attempt = parts.length == 4 && parts[0].equals("OPEN") ? day.attempt(parts[1]) : null;
            if (attempt == null) {
                day.trouble("a host was sent what no client said: " + line);
                talk.say("SYNTAX");
                talk.finish();
                return;
            }
            if (line.contains("at=")) {
                attempt.load = attempt.caller.load;
                host.begin(attempt);
                opened();
                return;
            }
            day.counts().setups++;
            day.counts().crossings += day.zone(node).equals(host.zone) ? 0 : 1;
            day.witness().sent(day.now(), attempt.id.name(), "n" + node, host.name);
            double allowed = host.pushed();
            if (!Double.isNaN(allowed)) {
                day.witness().pushedOver(day.now(), host.name, host.pushRate(), allowed);
                day.stopHost(host, false);
            } else if (host.state() == Host.State.DRAINING || !host.hasRoom()) {
                refuse("BUSY");
            } else {
                run();
            }
        }

        private void refuse(String word) {
            talk.say(word);
            talk.finish();
            gone();
        }

        private void run() {
            day.witness().ran(day.now(), attempt.id.name(), host.name, host.zone, host.cell);
            if (host.mute) {
                return;
            }
            if (host.failing > 0 && day.luck() < host.failing) {
                refuse("ERR");
                return;
            }
            boolean half = host.halving > 0 && day.luck() < host.halving;
            double work = day.day().host().setupWork() * attempt.caller.cost;
            day.counts().setupWork += work;
            host.setUp(work, () -> callStore(half, work));
            host.refresh();
        }

        private void callStore(boolean half, double work) {
            if (closed) {
                waste(work);
            } else if (day.store().full()) {
                waste(work);
                refuse("ERR");
            } else {
                day.store()
                        .call(
                                () -> {
                                    if (launch != host.launches()) {
                                        return;
                                    }
                                    if (closed || half) {
                                        waste(work);
                                        if (half) {
                                            talk.bytes("U");
                                            talk.reset();
                                            gone();
                                        }
                                        return;
                                    }
                                    attempt.load = attempt.caller.load;
                                    host.admit(attempt);
                                    opened();
                                });
            }
        }

        private void waste(double work) {
            host.forget();
            day.counts().wastedWork += work;
        }

        private void opened() {
            up = true;
            attempt.host = host;
            talk.say("UP " + attempt.id.name());
            day.agenda()
                    .at(
                            attempt.caller.ends,
                            () -> {
                                if (up && !dead()) {
                                    part("BYE");
                                }
                            });
        }

        /** Says its last word on a tunnel that stands, and lets it go. */
        void part(String word) {
            up = false;
            host.release(attempt);
            talk.say(word);
            talk.finish();
            gone();
        }

        private void echo(String line) {
            double takes = host.lineTakes();
            if (takes < Double.POSITIVE_INFINITY) {
                day.agenda()
                        .in(
                                takes,
                                () -> {
                                    if (!dead()) {
                                        talk.say(line);
                                    }
                                });
            } else {
                day.agenda()
                        .in(
                                0.05,
                                () -> {
                                    if (!dead()) {
                                        echo(line);
                                    }
                                });
            }
        }

        private void ended() {
            if (up && !dead()) {
                host.release(attempt);
            }
            up = false;
            talk.resetNow();
            gone();
        }

        private void gone() {
            closed = true;
            sides.remove(this);
            if (attempt != null) {
                day.witness().closed(day.now(), attempt.id.name(), host.name);
            }
        }
    }
}
