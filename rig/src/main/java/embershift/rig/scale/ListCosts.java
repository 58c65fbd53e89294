package embershift.rig.scale;

import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.door.JsonMessages;
import embershift.fleet.endpoints.EndpointUpdate;
import embershift.fleet.endpoints.PublishedEndpoints;
import embershift.protocol.MalformedDataException;
import embershift.protocol.RosterUpdate;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;

/** What a list of hosts costs: at a node that reads it whole, and at the owner that hands it on. */
final class ListCosts {

    private static final int TIMES = 5;
    private static final double MILLI = 1e6;
    private static final double KILO = 1024;

    private ListCosts() {}

    static Map<String, String> entries(int hosts) {
        Map<String, String> entries = new LinkedHashMap<>();
        for (int i = 0; i < hosts; i++) {
            entries.put(
                    "h" + i,
                    String.format(
                            Locale.ROOT,
                            "{\"instanceId\":\"h%d\",\"hostPort\":\"10.%d.%d.%d:7000\",\"zone\":\"z%d\","
                                    + "\"lifecycle\":\"in_service\",\"weight\":1,\"startedAtMs\":1790000000000}",
                            i,
                            i >> 16,
                            i >> 8 & 255,
                            i & 255,
                            i % 15));
        }
        return entries;
    }

    static double[] once(int hosts) {
        Map<String, String> entries = entries(hosts);
        String page =
                "{\"generation\":7,\"reset\":true,\"instances\":["
                        + String.join(",", entries.values())
                        + "]}";
        long from = Cpu.now();
        try {
            for (int i = 0; i < TIMES; i++) {
                if (RosterUpdate.parse(page).entries().size() != hosts) {
                    throw new IllegalStateException("not all hosts were read");
                }
            }
        } catch (MalformedDataException e) {
            throw new IllegalStateException(e);
        }
        double read = Cpu.since(from) / TIMES;
        PublishedEndpoints told = new PublishedEndpoints();
        told.update(1, entries);
        long base = told.number();
        Map<String, String> next = new LinkedHashMap<>(entries);
        next.put("h0", entries.get("h0").replace("in_service", "terminating"));
        from = Cpu.now();
        told.update(2, next);
        double heard = Cpu.since(from);
        return new double[] {
            page.length() / KILO,
            read / MILLI,
            order(told.updateSince(0)).length / KILO,
            heard / MILLI,
            order(told.updateSince(base)).length
        };
    }

    private static byte[] order(EndpointUpdate change) {
        ObjectNode order =
                JsonMessages.newObject()
                        .put("number", change.number())
                        .put("base", change.baseNumber())
                        .put("generation", change.generation());
        JsonMessages.putTexts(order.putObject("changed"), change.changed());
        JsonMessages.addTexts(order.putArray("gone"), change.removed());
        return JsonMessages.encode(order);
    }

    static List<Curve> measure(ScaleFile file, ResourceLimits limits, Consumer<String> progress)
            throws ResourceLimits.Exceeded {
        for (int i = 0; i < 2 * TIMES; i++) {
            once(1000);
        }
        Curve.Many points =
                new Curve.Many(
                        "lists: discovery's whole answer",
                        "KB",
                        "lists: a node reads it",
                        "ms",
                        "lists: the owner's order, whole",
                        "KB",
                        "lists: the owner compares two lists",
                        "ms",
                        "lists: the owner's order for one change",
                        "bytes");
        for (int hosts : file.lists().hosts().stream().sorted().toList()) {
            List<double[]> repeats = new ArrayList<>();
            for (int i = 0; i < file.repeats(); i++) {
                limits.check();
                repeats.add(once(hosts));
            }
            points.add(hosts, repeats);
            progress.accept("lists: " + hosts + " hosts done");
        }
        return points.curves("hosts", file.size().hosts());
    }
}
