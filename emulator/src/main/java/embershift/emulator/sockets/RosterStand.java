package embershift.emulator.sockets;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.emulator.world.Dice;
import embershift.emulator.world.Host;
import embershift.transport.EventLoop;
import embershift.transport.TcpConnection;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The roster on sockets: HTTP/1.1, the whole list or a watch that waits for what is newer; late,
 * and sometimes away.
 */
final class RosterStand {

    private static final JsonMapper JSON = new JsonMapper();
    private static final Pattern GET =
            Pattern.compile("GET /api/targets(?:\\?after=(\\d+)&wait_ms=(\\d+))? HTTP/1\\.1");
    private static final int LONGEST_HEAD = 8192;

    /** What it says of one host, and since which version. */
    private record Entry(Host host, String lifecycle, double launchedAt, long version) {}

    private final SocketDay day;
    private final Dice dice;
    private final Map<Integer, Entry> entries = new LinkedHashMap<>();
    private final Map<Integer, Entry> atBegin = new LinkedHashMap<>();
    private final Set<Integer> leftOut = new LinkedHashSet<>();
    private final List<EventLoop.Acceptor> listening = new ArrayList<>();
    private final Set<Caller> callers = new LinkedHashSet<>();
    private long version = 1;

    /** The version from which on all who ask get the whole list. */
    private long wholeSince;

    private int away;

    RosterStand(SocketDay day, List<Host> hosts, Dice dice) throws IOException {
        this.day = day;
        this.dice = dice;
        hosts.forEach(host -> entries.put(host.number, new Entry(host, "in_service", 0, version)));
        atBegin.putAll(entries);
        for (int i = 0; i < day.day().fleet().nodes(); i++) {
            int node = i;
            listening.add(
                    day.loop()
                            .listen(
                                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                    () -> true,
                                    link -> {
                                        Caller caller = new Caller(link, node);
                                        callers.add(caller);
                                        link.setListener(caller);
                                    }));
        }
    }

    String address(int node) {
        return PeerRelay.text(listening.get(node).localAddress());
    }

    void changed(Host host) {
        String lifecycle =
                switch (host.state()) {
                    case RUNNING -> "in_service";
                    case DRAINING -> "terminating";
                    case DOWN, SILENT -> "terminated";
                };
        double launchedAt = Math.max(0, host.launchedAt());
        day.agenda()
                .in(
                        dice.within(day.day().roster().lag()),
                        () -> {
                            Entry before = entries.get(host.number);
                            if (before.launchedAt <= launchedAt) {
                                entries.put(
                                        host.number,
                                        new Entry(host, lifecycle, launchedAt, ++version));
                                tellWaiting();
                            }
                        });
    }

    private void tellWaiting() {
        List.copyOf(callers).forEach(Caller::answerIfNewer);
    }

    void away(boolean on) {
        away += on ? 1 : -1;
        if (on) {
            List.copyOf(callers).forEach(Caller::fail);
        }
    }

    void leaveOut(Set<Integer> hosts, boolean on) {
        if (on) {
            leftOut.addAll(hosts);
        } else {
            leftOut.removeAll(hosts);
        }
        wholeSince = ++version;
        tellWaiting();
    }

    /** Says again what it said when the day began, until then. */
    void older(double until) {
        Map<Integer, Entry> present = new LinkedHashMap<>(entries);
        entries.putAll(atBegin);
        wholeSince = ++version;
        day.agenda()
                .at(
                        until,
                        () -> {
                            present.forEach(
                                    (number, entry) ->
                                            entries.merge(
                                                    number,
                                                    entry,
                                                    (now, then) ->
                                                            now.version > then.version
                                                                    ? now
                                                                    : then));
                            wholeSince = ++version;
                            tellWaiting();
                        });
    }

    void wayChanged() {
        List.copyOf(callers).forEach(Caller::answerIfNewer);
    }

    /** The list as a node has it that starts now. */
    ObjectNode known(int node) {
        return page(node, true, 0);
    }

    private ObjectNode page(int node, boolean whole, long after) {
        ObjectNode page = JSON.createObjectNode().put("generation", version).put("reset", whole);
        ArrayNode instances = page.putArray("instances");
        for (Entry entry : entries.values()) {
            boolean gone = entry.lifecycle.equals("terminated");
            if (whole ? !gone && !leftOut.contains(entry.host.number) : entry.version > after) {
                instances
                        .addObject()
                        .put("instanceId", entry.host.name)
                        .put("hostPort", day.stand(entry.host).address(node))
                        .put("zone", entry.host.zone)
                        .put("machineType", entry.host.kind.name())
                        .put("cell", entry.host.cell)
                        .put("lifecycle", entry.lifecycle)
                        .put("weight", 1.0)
                        .put(
                                "startedAtMs",
                                entry.launchedAt <= 0
                                        ? 0
                                        : Math.round(day.pump().wall(entry.launchedAt) * 1000));
            }
        }
        return page;
    }

    private void told(int node, boolean whole, long after) {
        for (Entry entry : entries.values()) {
            boolean listed =
                    entry.lifecycle.equals("in_service") && !leftOut.contains(entry.host.number);
            if (whole || entry.version > after) {
                day.witness().told(day.now(), "n" + node, entry.host.name, !listed);
            }
        }
    }

    /** A node's connection: calls one after the other, each answered before the next is read. */
    private final class Caller implements TcpConnection.Listener {
        private final TcpConnection link;
        private final int node;
        private final StringBuilder head = new StringBuilder();
        private boolean waiting;
        private long after;
        private int call;

        Caller(TcpConnection link, int node) {
            this.link = link;
            this.node = node;
        }

        @Override
        public void received(ByteBuffer bytes) {
            day.pump().sync();
            head.append(StandardCharsets.ISO_8859_1.decode(bytes));
            int end = head.indexOf("\r\n\r\n");
            if (end < 0) {
                if (head.length() > LONGEST_HEAD) {
                    answer("400 Bad Request", "");
                }
                return;
            }
            String first = head.substring(0, head.indexOf("\r\n"));
            head.delete(0, end + 4);
            call(first);
        }

        private void call(String first) {
            Matcher get = GET.matcher(first);
            day.counts().rosterCalls++;
            if (!get.matches()) {
                answer("404 Not Found", "");
            } else if (away > 0) {
                fail();
            } else if (get.group(1) == null) {
                whole();
            } else {
                after = Long.parseLong(get.group(1));
                waiting = true;
                int number = ++call;
                answerIfNewer();
                day.agenda()
                        .in(
                                Long.parseLong(get.group(2)) / 1e3,
                                () -> {
                                    if (waiting && number == call) {
                                        changes();
                                    }
                                });
            }
        }

        void answerIfNewer() {
            if (waiting && away == 0 && day.open(node)) {
                if (after > version || after < wholeSince) {
                    whole();
                } else if (after < version) {
                    changes();
                }
            }
        }

        private void whole() {
            waiting = false;
            if (day.open(node)) {
                told(node, true, 0);
                send(page(node, true, 0));
            }
        }

        private void changes() {
            waiting = false;
            if (day.open(node)) {
                told(node, false, after);
                send(page(node, false, after));
            }
        }

        private void send(ObjectNode page) {
            try {
                day.counts().rosterEntries += page.get("instances").size();
                answer("200 OK", JSON.writeValueAsString(page));
            } catch (JsonProcessingException e) {
                throw new IllegalStateException(e);
            }
        }

        void fail() {
            waiting = false;
            answer("503 Service Unavailable", "");
        }

        private void answer(String status, String body) {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            byte[] start =
                    ("HTTP/1.1 "
                                    + status
                                    + "\r\nContent-Type: application/json\r\nContent-Length: "
                                    + bytes.length
                                    + "\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII);
            link.write(
                    ByteBuffer.allocate(start.length + bytes.length).put(start).put(bytes).flip());
        }

        @Override
        public void inputEnded() {
            callers.remove(this);
            link.close();
        }

        @Override
        public void connectionLost() {
            callers.remove(this);
        }
    }
}
