package embershift.emulator.experiment;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * How far a day on sockets is from the same day in virtual time, figure by figure, and what is
 * known of why.
 */
public final class Apart {

    /** Shares that lie this far apart are told with a reason. */
    private static final double NEAR = 0.03;

    /**
     * Seconds by which a machine is late from which a day on sockets says more of it than of the
     * nodes.
     */
    private static final double LATE = 0.2;

    private Apart() {}

    /** A table of both, and lines that tell why they may differ. */
    public static String table(Result virtual, Play.SocketPlay sockets) {
        Result real = sockets.result();
        StringBuilder text =
                new StringBuilder(
                        String.format(
                                Locale.ROOT,
                                "%-18s %10s %10s %10s%n",
                                "",
                                "virtual",
                                "sockets",
                                "apart"));
        Map<String, double[]> rows = new TreeMap<>();
        rows.put("service", new double[] {virtual.service(), real.service()});
        rows.put("worst 10 s", new double[] {virtual.worstTen(), real.worstTen()});
        rows.put("worst profile", new double[] {virtual.worstProfile(), real.worstProfile()});
        for (String percentile : List.of("p50.0", "p90.0", "p99.0")) {
            rows.put(
                    "to open " + percentile,
                    new double[] {
                        virtual.opening().get(percentile), real.opening().get(percentile)
                    });
        }
        for (String cost : List.of("wastedWork", "crossings", "moves", "reconnections")) {
            rows.put(cost, new double[] {virtual.costs().get(cost), real.costs().get(cost)});
        }
        for (String count :
                List.of(
                        "tunnels",
                        "opened",
                        "declined",
                        "closedWithError",
                        "unanswered",
                        "breaks",
                        "breaches")) {
            rows.put(count, new double[] {virtual.counts().get(count), real.counts().get(count)});
        }
        rows.forEach(
                (name, both) ->
                        text.append(
                                String.format(
                                        Locale.ROOT,
                                        "%-18s %10.4f %10.4f %+10.4f%n",
                                        name,
                                        both[0],
                                        both[1],
                                        both[1] - both[0])));
        why(virtual, sockets, text);
        return text.toString();
    }

    private static void why(Result virtual, Play.SocketPlay sockets, StringBuilder text) {
        Result real = sockets.result();
        text.append(
                String.format(
                        Locale.ROOT,
                        "this machine was late by %.3f s at the most%s%n",
                        sockets.latest(),
                        sockets.latest() > LATE ? ": too busy, the day counts for nothing" : ""));
        if (Math.abs(real.service() - virtual.service()) > NEAR) {
            // The seconds on which they differ most tell where to look.
            int worst = 0;
            for (int i = 0; i < Math.min(real.each().length, virtual.each().length); i++) {
                if (Math.abs(real.each()[i] - virtual.each()[i])
                        > Math.abs(real.each()[worst] - virtual.each()[worst])) {
                    worst = i;
                }
            }
            text.append(
                    String.format(
                            Locale.ROOT,
                            "furthest apart at second %d: %.3f virtual, %.3f on sockets%n",
                            worst,
                            virtual.each()[worst],
                            real.each()[worst]));
        }
        sockets.troubles().stream()
                .limit(5)
                .forEach(line -> text.append("wrong on sockets: ").append(line).append('\n'));
        real.breaches().stream()
                .limit(5)
                .forEach(line -> text.append("on sockets ").append(line).append('\n'));
        virtual.breaches().stream()
                .limit(5)
                .forEach(line -> text.append("virtual ").append(line).append('\n'));
    }
}
