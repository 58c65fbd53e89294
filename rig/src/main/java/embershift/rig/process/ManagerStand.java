package embershift.rig.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A stand-in of whoever starts hosts and nodes anew. It knows no fence: each id is carried out once
 * at the most, whoever calls and however often, and one that was made void never is. Writes down
 * what was away when.
 */
public final class ManagerStand implements AutoCloseable {

    /** What starts something anew; returns once it is there again. */
    public interface Starting {
        void startAnew(String kind, String name) throws IOException;
    }

    /** {@code away}: whether it began to be away, or is there again. */
    public record Event(long at, String part, String id, boolean away) {}

    private final ServerSocket server;
    private final Starting starting;
    private final Map<String, String> states = new HashMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<String, Integer> calls = new TreeMap<>();

    public ManagerStand(Starting starting) throws IOException {
        this.starting = starting;
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        HostsStand.accept(
                server,
                socket -> {
                    BufferedReader in =
                            new BufferedReader(
                                    new InputStreamReader(
                                            socket.getInputStream(), StandardCharsets.US_ASCII));
                    String line = in.readLine();
                    if (line != null) {
                        socket.getOutputStream()
                                .write(
                                        (answer(line.split(" ")) + "\r\n")
                                                .getBytes(StandardCharsets.US_ASCII));
                    }
                });
    }

    public int port() {
        return server.getLocalPort();
    }

    private synchronized String answer(String[] words) {
        calls.merge(words[0], 1, Integer::sum);
        if (words.length == 2 && words[0].equals("VOID")) {
            return states.computeIfAbsent(words[1], none -> "VOID");
        }
        if (words.length != 4 || !words[0].equals("RESTART")) {
            return "NO such call";
        }
        String before = states.putIfAbsent(words[3], "GOING");
        if (before != null) {
            return before;
        }
        String part = words[1] + " " + words[2];
        events.add(new Event(System.nanoTime(), part, words[3], true));
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                starting.startAnew(words[1], words[2]);
                            } catch (IOException e) {
                                return;
                            }
                            synchronized (this) {
                                events.add(new Event(System.nanoTime(), part, words[3], false));
                                states.put(words[3], "DONE");
                            }
                        },
                        "starting");
        thread.setDaemon(true);
        thread.start();
        return "GOING";
    }

    public synchronized List<Event> events() {
        return new ArrayList<>(events);
    }

    /** How often each kind of call came. */
    public synchronized Map<String, Integer> calls() {
        return new TreeMap<>(calls);
    }

    /** The most that was away at one time. */
    public synchronized int mostAway() {
        int away = 0;
        int most = 0;
        for (Event event : events) {
            away += event.away() ? 1 : -1;
            most = Math.max(most, away);
        }
        return most;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
