package embershift.rig.process;

import embershift.fleet.audit.AuditEntry;
import embershift.fleet.audit.AuditReport;
import embershift.fleet.audit.AuditSegment;
import embershift.fleet.rollout.ConfigRevision;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A fleet of processes under faults drawn from a seed: revisions about once a second while
 * instances and nodes are killed and stopped and ways are cut in one direction, slow or both.
 * Judged by what hosts saw and by the trails that the record holds; never by what an owner says.
 * Safety always; that all are current only once the faults are over.
 */
public final class FleetPlay {

    /**
     * {@code broken}: what was, or null; {@code healed}: seconds from the end of the faults until
     * all were current.
     */
    public record Report(long seed, String broken, Map<String, Integer> reached, double healed) {}

    private static final double HEAL = 60;

    /**
     * Seconds by which a setup may reach a host after its node has told that the host is out: it
     * was under way.
     */
    private static final double UNDER_WAY = 0.5;

    private static final String FLEET =
            "session-s = 1.5\nsettle-s = 0.3\npatience-s = 3\nsilent-s = 1.5\n";
    private static final int HOSTS = 5;

    private record Undo(double at, Runnable what) {}

    private final FleetSite site;
    private final Random chance;
    private final Map<String, Integer> reached = new TreeMap<>();
    private final PriorityQueue<Undo> undos =
            new PriorityQueue<>(Comparator.comparingDouble(Undo::at));
    private final Set<String> down = new TreeSet<>();
    private final long wallOverNano = System.currentTimeMillis() * 1_000_000L - System.nanoTime();
    private volatile boolean over;

    private FleetPlay(FleetSite site, long seed) {
        this.site = site;
        chance = new Random(seed);
    }

    public static Report play(long seed, double lasts, int instances, int nodes, Path folder)
            throws IOException {
        try (FleetSite site =
                new FleetSite(
                        folder,
                        instances,
                        nodes,
                        HOSTS,
                        FLEET,
                        "alone-s = 1.5\nspread-s = 0.5\n")) {
            return new FleetPlay(site, seed).play(seed, lasts);
        }
    }

    private void count(String what) {
        synchronized (reached) {
            reached.merge(what, 1, Integer::sum);
        }
    }

    private static double now() {
        return System.nanoTime() / 1e9;
    }

    private Report play(long seed, double lasts) throws IOException {
        FleetSite.await(
                "all current",
                HEAL,
                () ->
                        site.nodeNames().stream()
                                .allMatch(node -> site.state(node).equals("CURRENT")));
        double until = now() + lasts;
        Thread revising = new Thread(this::revise, "revising");
        revising.setDaemon(true);
        revising.start();
        String broken;
        double healed = 0;
        try (FleetSite.Clients clients = site.new Clients(0.05)) {
            while (now() < until) {
                fault();
                Instances.sleep(0.3 + 0.8 * chance.nextDouble());
                while (!undos.isEmpty() && undos.peek().at < now()) {
                    undos.poll().what.run();
                }
            }
            while (!undos.isEmpty()) {
                undos.poll().what.run();
            }
            site.ways.clearAll();
            over = true;
            double ended = now();
            broken = heal();
            healed = now() - ended;
            Instances.sleep(3);
            if (broken == null) {
                broken = judge();
            }
            clients.answers().forEach((word, many) -> reached.put("clients " + word, many));
        }
        return new Report(seed, broken, reached, healed);
    }

    private void revise() {
        Random own = new Random(chance.nextLong());
        while (!over) {
            Instances.sleep(0.6 + 0.6 * own.nextDouble());
            String host = "out/h" + (1 + own.nextInt(HOSTS - 1));
            try {
                List<String> words = new ArrayList<>(List.of("revise"));
                words.addAll(
                        own.nextBoolean()
                                ? List.of(host + "=" + own.nextInt(1000))
                                : List.of("--remove", host));
                if (own.nextInt(3) != 0) {
                    words.add("--now");
                }
                count("changes " + site.fleet(words.toArray(new String[0])).status());
            } catch (IOException e) {
                return;
            }
        }
    }

    private void later(double delay, Runnable what) {
        undos.add(new Undo(now() + delay, what));
    }

    private interface Step {
        void run() throws IOException;
    }

    private static void must(Step step) {
        try {
            step.run();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void fault() {
        List<String> instances = site.instances.names();
        String instance = instances.get(chance.nextInt(instances.size()));
        String node = site.nodeNames().get(chance.nextInt(site.nodeNames().size()));
        double lasts = 0.5 + 4 * chance.nextDouble();
        switch (chance.nextInt(8)) {
            case 0 -> {
                if (down.add(instance)) {
                    count("instances killed");
                    site.instances.kill(instance);
                    later(
                            lasts,
                            () ->
                                    must(
                                            () -> {
                                                site.instances.start(instance);
                                                down.remove(instance);
                                            }));
                }
            }
            case 1 -> {
                if (down.add(instance)) {
                    count("instances stopped");
                    site.instances.stop(instance);
                    later(
                            lasts,
                            () -> {
                                site.instances.goOn(instance);
                                down.remove(instance);
                            });
                }
            }
            case 2 -> {
                if (down.add(node)) {
                    count("nodes killed");
                    site.node(node).kill();
                    later(
                            lasts / 2,
                            () ->
                                    must(
                                            () -> {
                                                site.startNode(node);
                                                down.remove(node);
                                            }));
                }
            }
            case 3 -> {
                if (down.add(node)) {
                    count("nodes stopped");
                    Program program = site.node(node);
                    program.stop();
                    later(
                            lasts,
                            () -> {
                                program.goOn();
                                down.remove(node);
                            });
                }
            }
            case 4 ->
                    way(
                            new Ways.Way(node, instance),
                            new Ways.State(true, 0, 0, 0),
                            lasts,
                            "nodes not heard");
            case 5 ->
                    instances.forEach(
                            each ->
                                    way(
                                            new Ways.Way(each, node),
                                            new Ways.State(true, 0, 0, 0),
                                            lasts,
                                            "nodes that hear nobody"));
            case 6 ->
                    way(
                            new Ways.Way(instance, node),
                            new Ways.State(false, lasts, 0.5, 0),
                            lasts,
                            "late words");
            default -> {
                String other = instances.get(chance.nextInt(instances.size()));
                if (!other.equals(instance)) {
                    way(
                            new Ways.Way(instance, other),
                            new Ways.State(true, 0, 0, 0),
                            lasts,
                            "instances not heard");
                }
            }
        }
    }

    private void way(Ways.Way way, Ways.State state, double lasts, String what) {
        count(what);
        site.ways.set(way, state);
        later(lasts, () -> site.ways.set(way, Ways.State.CLEAR));
    }

    /** What did not come right in time, or null. */
    private String heal() throws IOException {
        FleetSite.Said[] last = new FleetSite.Said[1];
        try {
            FleetSite.await(
                    "a last revision",
                    HEAL,
                    () -> {
                        try {
                            last[0] =
                                    site.fleet(
                                            "revise",
                                            "out/h1=last" + chance.nextInt(1_000_000),
                                            "--remove",
                                            "out/h2,out/h3,out/h4",
                                            "--now");
                            return last[0].status() == 0;
                        } catch (IOException e) {
                            return false;
                        }
                    });
            FleetSite.await(
                    "all nodes at the last revision: " + site.list("state/"),
                    HEAL,
                    () -> {
                        String latest = site.get("rollout/latest");
                        return latest != null && latest.equals(site.get("rollout/floor"));
                    });
            FleetSite.await(
                    "all nodes current: " + site.list("state/"),
                    HEAL,
                    () ->
                            site.nodeNames().stream()
                                    .allMatch(node -> site.state(node).equals("CURRENT")));
            return null;
        } catch (IOException e) {
            return e.getMessage();
        }
    }

    private record Took(String node, long incarnation, long revision, long at, long until) {}

    private String judge() {
        Map<String, String> trails = site.list("trail/");
        Map<Long, ConfigRevision> revisions = new HashMap<>();
        site.list("revision/")
                .values()
                .forEach(
                        text -> {
                            ConfigRevision revision = ConfigRevision.decode(text).orElseThrow();
                            revisions.put(revision.number(), revision);
                        });
        for (String problem :
                new AuditReport(trails.values(), Map.of(), site.list("folded/")).problems()) {
            if (!problem.contains("missing")) {
                return problem;
            }
            count("gaps told");
        }
        List<Took> took = new ArrayList<>();
        Map<String, Took> latest = new TreeMap<>();
        for (String text : trails.values()) {
            AuditSegment segment = AuditSegment.decode(text).orElseThrow();
            for (AuditEntry entry : segment.entries()) {
                if (entry.kind() == AuditEntry.Kind.ORDER) {
                    count("orders " + entry.fields().getOrDefault("verdict", "for releases"));
                }
                String key = segment.node() + "/" + segment.incarnation();
                Took before = latest.get(key);
                if (before != null) {
                    // What is told after it tells that it held until then.
                    latest.put(
                            key,
                            new Took(
                                    before.node,
                                    before.incarnation,
                                    before.revision,
                                    before.at,
                                    entry.at().millis()));
                }
                if (entry.kind() != AuditEntry.Kind.TOOK) {
                    continue;
                }
                count("revisions taken");
                long number = entry.longField("revision");
                if (before != null && number < before.revision) {
                    return key + " goes back from " + before.revision + " to " + number;
                }
                ConfigRevision meant = revisions.get(number);
                if (meant == null || !meant.contentDigest().equals(entry.fields().get("content"))) {
                    return key + " acts on what revision " + number + " does not say";
                }
                if (before != null) {
                    took.add(latest.get(key));
                }
                latest.put(
                        key,
                        new Took(
                                segment.node(),
                                segment.incarnation(),
                                number,
                                entry.at().millis(),
                                entry.at().millis()));
            }
        }
        took.addAll(latest.values());
        return throughBans(took, revisions);
    }

    /**
     * Whether a host had a setup of a node that went, by its own trail, by a revision in which that
     * host is out.
     */
    private String throughBans(List<Took> took, Map<Long, ConfigRevision> revisions) {
        for (HostsStand.Setup setup : site.hosts.setups()) {
            long wall = (setup.at() + wallOverNano) / 1_000_000;
            String node = setup.tunnel().replaceAll("-.*", "");
            for (Took each : took) {
                if (each.node.equals(node)
                        && wall > each.at + UNDER_WAY * 1000
                        && wall < each.until
                        && revisions
                                .get(each.revision)
                                .fields()
                                .containsKey(ConfigRevision.EJECTED_PREFIX + setup.host())) {
                    return String.format(
                            Locale.ROOT,
                            "%s sent %s to %s %d ms after it went by revision %d, in which that is out",
                            node,
                            setup.tunnel(),
                            setup.host(),
                            wall - each.at,
                            each.revision);
                }
                if (each.node.equals(node) && wall > each.at && wall < each.until) {
                    count("setups judged");
                }
            }
        }
        return null;
    }
}
