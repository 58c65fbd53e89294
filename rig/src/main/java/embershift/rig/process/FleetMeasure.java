package embershift.rig.process;

import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.fleet.audit.AuditEntry;
import embershift.fleet.audit.AuditSegment;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * What the duties cost and how long they are without an owner, with nodes as processes: the figures
 * of docs/duties.md and docs/audit.md.
 */
public final class FleetMeasure {

    private static final double PATIENCE = 60;
    private static final double SPAN = 10;

    private FleetMeasure() {}

    private static void say(String form, Object... parts) {
        System.out.println(String.format(Locale.ROOT, form, parts));
    }

    private static String spread(List<Double> all) {
        Collections.sort(all);
        return all.isEmpty()
                ? "none"
                : String.format(
                        Locale.ROOT,
                        "p50 %.2f s, p99 %.2f s, worst %.2f s of %d",
                        all.get(all.size() / 2),
                        all.get((int) Math.ceil(0.99 * all.size()) - 1),
                        all.get(all.size() - 1),
                        all.size());
    }

    /** Everything, with so many nodes; {@code times} of each fault. */
    public static void all(int nodes, int times, int revisions) throws IOException {
        Path folder = Files.createTempDirectory("rig");
        try (FleetSite site = new FleetSite(folder, 3, nodes, 4, "", "report-s = 0.5\n")) {
            FleetSite.await(
                    "all nodes current",
                    PATIENCE,
                    () ->
                            site.list("state/").values().stream()
                                            .filter(state -> state.startsWith("CURRENT"))
                                            .count()
                                    == nodes);
            memory(site);
            Instances.sleep(3);
            calls(site, nodes, "with the list handed on");
            ownerEnds(site, nodes);
            rounds(site, nodes, revisions);
            cutAll(site, nodes);
            for (String fault : new String[] {"kill", "stop", "end", "hand-over"}) {
                gaps(site, fault, times);
            }
        }
        Instances.delete(folder);
    }

    private static void memory(FleetSite site) throws IOException {
        long sum = 0;
        for (String name : site.nodeNames()) {
            for (String line :
                    Files.readAllLines(
                            Path.of("/proc", String.valueOf(site.node(name).pid()), "status"))) {
                if (line.startsWith("VmRSS")) {
                    sum += Long.parseLong(line.replaceAll("\\D", ""));
                }
            }
        }
        say("memory of a node with a door: %.1f MB", sum / 1024.0 / site.nodeNames().size());
    }

    private static void calls(FleetSite site, int nodes, String how) {
        long before = site.hosts.calls();
        long ordersBefore = listOrders(site);
        Instances.sleep(SPAN);
        say(
                "discovery calls %s, %d nodes: %.2f a second",
                how, nodes, (site.hosts.calls() - before) / SPAN);
        say(
                "orders of lists %s, %d nodes: %.2f a second each",
                how, nodes, (listOrders(site) - ordersBefore) / SPAN / nodes);
    }

    /** Orders of lists that all instances that answer have sent so far. */
    private static long listOrders(FleetSite site) {
        long sum = 0;
        for (String name : site.instances.names()) {
            ObjectNode counts = site.counts(name);
            if (counts != null) {
                sum += counts.path("lists told whole").asLong();
                sum += counts.path("lists told by difference").asLong();
            }
        }
        return sum;
    }

    /** All instances stand still: each node asks by itself after a while; then they go on. */
    private static void ownerEnds(FleetSite site, int nodes) throws IOException {
        site.instances.names().forEach(site.instances::stop);
        long most = 0;
        long before = site.hosts.calls();
        long first = before;
        for (int i = 0; i < 100; i++) {
            Instances.sleep(0.1);
            long now = site.hosts.calls();
            most = Math.max(most, now - before);
            before = now;
        }
        say(
                "discovery calls over 10 s in which all instances stop, %d nodes: %d, at most %d in 0.1 s",
                nodes, before - first, most);
        calls(site, nodes, "with no instance");
        site.instances.names().forEach(site.instances::goOn);
        site.awaitOwner("lists", null);
        // Nodes return to its lists after six seconds of confirmations.
        Instances.sleep(10);
    }

    /** From the command to the round from which a node acts on it, by the nodes' own trails. */
    private static void rounds(FleetSite site, int nodes, int revisions) throws IOException {
        Map<Long, Long> made = new HashMap<>();
        long base = latest(site);
        for (int i = 1; i <= revisions; i++) {
            made.put(base + i, System.currentTimeMillis());
            FleetSite.Said said = site.fleet("revise", "out/x" + i % 7 + "=" + i, "--now");
            if (said.status() != 0) {
                throw new IOException(said.text());
            }
            Instances.sleep(0.4);
        }
        long last = base + revisions;
        FleetSite.await(
                "all nodes at " + last,
                PATIENCE,
                () -> String.valueOf(last).equals(site.get("rollout/floor")));
        Instances.sleep(3);
        List<Double> took = new ArrayList<>();
        long bytes = 0;
        long entries = 0;
        for (String text : site.list("trail/").values()) {
            bytes += text.length();
            for (AuditEntry entry : AuditSegment.decode(text).orElseThrow().entries()) {
                entries++;
                if (entry.kind() == AuditEntry.Kind.TOOK
                        && made.containsKey(entry.longField("revision"))) {
                    took.add(
                            (entry.at().millis() - made.get(entry.longField("revision"))) / 1000.0);
                }
            }
        }
        say("a change to acted on, %d nodes, %d changes: %s", nodes, revisions, spread(took));
        say("trail: %d entries, %.0f bytes an entry", entries, (double) bytes / entries);
        long began = System.nanoTime();
        site.fleet("audit", "--revision", String.valueOf(last));
        say("a question over these trails: %.2f s", (System.nanoTime() - began) / 1e9);
    }

    private static long latest(FleetSite site) {
        String latest = site.get("rollout/latest");
        return latest == null ? 0 : Long.parseLong(latest);
    }

    /** All nodes are cut off from all instances, revisions go on, and they come back at once. */
    private static void cutAll(FleetSite site, int nodes) throws IOException {
        for (String node : site.nodeNames()) {
            site.instances.names().forEach(instance -> site.ways.cutBoth(node, instance, true));
        }
        for (int i = 0; i < 5; i++) {
            site.fleet("revise", "out/y" + i + "=1", "--now");
        }
        Instances.sleep(20);
        long goal = latest(site);
        long back = System.currentTimeMillis();
        site.ways.clearAll();
        FleetSite.await(
                "all nodes at " + goal,
                2 * PATIENCE,
                () -> String.valueOf(goal).equals(site.get("rollout/floor")));
        say(
                "%d nodes back at once from 20 s without instances: all current after %.2f s",
                nodes, (System.currentTimeMillis() - back) / 1000.0);
    }

    private static void gaps(FleetSite site, String fault, int times) throws IOException {
        List<Double> gaps = new ArrayList<>();
        for (int i = 0; i < times; i++) {
            String owner = site.awaitOwner("rollout", null);
            String fence = site.fence("rollout");
            long from = System.nanoTime();
            switch (fault) {
                case "kill" -> site.instances.kill(owner);
                case "stop" -> site.instances.stop(owner);
                case "end" -> {
                    site.instances.program(owner).terminate();
                }
                default -> {
                    FleetSite.Said said =
                            site.fleet(
                                    "duty-transfer",
                                    "rollout",
                                    site.instances.names().stream()
                                            .filter(name -> !name.equals(owner))
                                            .findFirst()
                                            .orElseThrow());
                    if (said.status() != 0) {
                        throw new IOException(said.text());
                    }
                }
            }
            String but = owner;
            FleetSite.await(
                    "another owner",
                    PATIENCE,
                    () -> {
                        String now = site.owner("rollout");
                        return now != null
                                && !now.equals(but)
                                && !site.fence("rollout").equals(fence);
                    });
            gaps.add((System.nanoTime() - from) / 1e9);
            switch (fault) {
                case "kill" -> site.instances.start(owner);
                case "stop" -> site.instances.goOn(owner);
                case "end" -> {
                    site.instances.program(owner).await();
                    site.instances.start(owner);
                }
                default -> {}
            }
            Instances.sleep(1);
        }
        say("without an owner after %s: %s", fault, spread(gaps));
    }
}
