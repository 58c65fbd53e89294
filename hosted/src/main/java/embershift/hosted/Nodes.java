package embershift.hosted;

import static net.logstash.logback.argument.StructuredArguments.kv;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.door.JsonMessages;
import embershift.fleet.audit.AuditSegment;
import embershift.fleet.audit.HybridLogicalClock;
import embershift.fleet.store.KeyValue;
import embershift.fleet.store.KeyValueStore;
import embershift.fleet.store.Mutation;
import embershift.fleet.store.Precondition;
import embershift.transport.EventLoop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The nodes that are linked to this instance: who they are, what they say, and the orders that are
 * out to them. On the loop.
 */
final class Nodes {

    private static final Logger LOG = LoggerFactory.getLogger(Nodes.class);
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final double CALL = 3;

    /**
     * Seconds after which an order without a verdict is given up: it is void at the node by then,
     * or soon.
     */
    private static final double VERDICT = 5;

    private static final int VERSION = 1;

    /** Orders that may be out to one node. */
    private static final int MOST_OUT = 64;

    static final String NODE = "node/";
    static final String OUT = "out/";

    /** What the duties hear of nodes. */
    interface Listener {

        void reported(NodeLink node);

        void unlinked(NodeLink node);
    }

    private record Waiting(Consumer<ObjectNode> heard, double until) {}

    /** One node's connection. */
    final class NodeLink {
        final String name;
        final String boot;
        long incarnation;
        private final Instance.Entrance entrance;
        private double clock;
        private double heardAt;
        private JsonNode report = JsonMessages.newObject();
        private boolean welcome;
        private final Map<Long, Waiting> waiting = new HashMap<>();

        private NodeLink(
                String name,
                String boot,
                long incarnation,
                double clock,
                Instance.Entrance entrance) {
            this.name = name;
            this.boot = boot;
            this.incarnation = incarnation;
            this.clock = clock;
            this.entrance = entrance;
            heardAt = loop.now();
        }

        /**
         * A time, by this instance's clock, since which the node is known to have run and been
         * heard.
         */
        double heardAt() {
            return heardAt;
        }

        /** What it reported last; empty before the first. */
        JsonNode report() {
            return report;
        }

        /** Gives an order; hears the verdict, or null where none came in time. */
        void order(ObjectNode order, Consumer<ObjectNode> verdict) {
            if (waiting.size() >= MOST_OUT) {
                verdict.accept(null);
                return;
            }
            long id = ++lastOrder;
            waiting.put(id, new Waiting(verdict, loop.now() + VERDICT));
            say(order.put("kind", "order").put("id", id).put("seen", clock));
        }

        private void say(ObjectNode words) {
            time = time.next(System.currentTimeMillis());
            entrance.tell(
                    words.put("floor", floor()).put("time", time.toString()).put("at", loop.now()));
        }

        private void out(String why) {
            LOG.warn(
                    "node is out",
                    kv("node", name),
                    kv("incarnation", incarnation),
                    kv("why", why));
            say(JsonMessages.newMessage("out").put("why", why));
            entrance.finish();
            gone(this);
        }
    }

    private final EventLoop loop;
    private final Supplier<KeyValueStore> record;
    private final RecordCaller caller;
    private final RecordCaller trails;
    private final Listener listener;
    private final Map<String, NodeLink> links = new TreeMap<>();
    private HybridLogicalClock time = HybridLogicalClock.START;
    private long lastOrder;

    Nodes(
            EventLoop loop,
            Supplier<KeyValueStore> record,
            RecordCaller caller,
            RecordCaller trails,
            Listener listener) {
        this.loop = loop;
        this.record = record;
        this.caller = caller;
        this.trails = trails;
        this.listener = listener;
    }

    Collection<NodeLink> linked() {
        return links.values();
    }

    NodeLink get(String name) {
        return links.get(name);
    }

    private long floor() {
        return Duty.number(record.get().find(RolloutDuty.FLOOR).orElse(null));
    }

    /** Whoever may not be here any more is told so. To be called several times a second. */
    void look() {
        double now = loop.now();
        for (NodeLink link : List.copyOf(links.values())) {
            String why = whyOut(link.name, link.boot, link.incarnation);
            if (why != null) {
                link.out(why);
                continue;
            }
            for (Map.Entry<Long, Waiting> each : new ArrayList<>(link.waiting.entrySet())) {
                if (now > each.getValue().until) {
                    link.waiting.remove(each.getKey());
                    each.getValue().heard.accept(null);
                }
            }
        }
    }

    /**
     * Why an incarnation may not act for the fleet, by what this instance has of the record; or
     * null.
     */
    private String whyOut(String name, String boot, long incarnation) {
        if (incarnation == 0) {
            return null;
        }
        KeyValue out = record.get().find(OUT + name).orElse(null);
        if (out != null && Duty.number(out) >= incarnation) {
            return "shut out: " + out.value().replaceFirst("^\\d+ ?", "");
        }
        KeyValue item = record.get().find(NODE + name).orElse(null);
        return item != null && !item.value().equals(boot) && item.revision() > incarnation
                ? "another process has the name " + name + " since"
                : null;
    }

    // What nodes say.

    NodeLink greeted(Instance.Entrance entrance, ObjectNode here) {
        String name = here.path("name").asText();
        String boot = here.path("boot").asText();
        if (!NAME.matcher(name).matches()
                || !boot.matches("[0-9a-f]{1,16}")
                || here.path("version").asInt() != VERSION) {
            entrance.tell(
                    JsonMessages.newMessage("out")
                            .put(
                                    "why",
                                    "a node has a name of its own, and speaks version " + VERSION));
            entrance.finish();
            return null;
        }
        NodeLink link =
                new NodeLink(
                        name,
                        boot,
                        here.path("incarnation").asLong(),
                        here.path("clock").asDouble(),
                        entrance);
        String why = whyOut(name, boot, link.incarnation);
        if (why != null) {
            link.out(why);
            return link;
        }
        KeyValue item = record.get().find(NODE + name).orElse(null);
        if (link.incarnation > 0 || (item != null && item.value().equals(boot))) {
            welcome(link, link.incarnation > 0 ? link.incarnation : item.revision());
        } else {
            register(link);
        }
        return link;
    }

    /** The name is this process's from now on, by a change whose revision is its incarnation. */
    private void register(NodeLink link) {
        caller.ask(
                RecordClient.put(NODE + link.name, link.boot, -1),
                CALL,
                outcome -> {
                    if (outcome.done()) {
                        welcome(link, outcome.answer().path("number").asLong());
                    } else {
                        // It comes again.
                        link.entrance.close();
                    }
                });
    }

    /**
     * Whether a process gives way to another that has its name: to one that began after it. A
     * process whose registration was given up, and came about later all the same, has two
     * incarnations, and may be known here by the higher one of a connection that it has left: it
     * never gives way to itself.
     */
    static boolean givesWay(
            long incarnation, String boot, long otherIncarnation, String otherBoot) {
        return otherIncarnation > incarnation && !otherBoot.equals(boot);
    }

    private void welcome(NodeLink link, long incarnation) {
        link.incarnation = incarnation;
        NodeLink before = links.get(link.name);
        if (before != null && before != link) {
            if (givesWay(incarnation, link.boot, before.incarnation, before.boot)) {
                link.out("another process has the name " + link.name + " since");
                return;
            }
            if (before.boot.equals(link.boot)) {
                before.entrance.close();
            } else {
                before.out("another process has the name " + link.name + " since");
            }
            gone(before);
        }
        links.put(link.name, link);
        link.welcome = true;
        link.say(JsonMessages.newMessage("welcome").put("incarnation", incarnation));
    }

    void heard(NodeLink link, ObjectNode words) {
        HybridLogicalClock.decode(words.path("time").asText(""))
                .ifPresent(told -> time = time.merge(told, System.currentTimeMillis()));
        if (!link.welcome) {
            return;
        }
        // When the node had this word before it: one that lay long on its way is no news of the
        // node.
        link.heardAt = Math.max(link.heardAt, Math.min(words.path("echo").asDouble(), loop.now()));
        switch (words.path("kind").asText()) {
            case "report" -> {
                link.clock = words.path("clock").asDouble();
                link.report = words;
                link.say(JsonMessages.newMessage("heard"));
                listener.reported(link);
            }
            case "verdict" -> {
                Waiting waiting = link.waiting.remove(words.path("id").asLong());
                if (waiting != null) {
                    waiting.heard.accept(words);
                }
            }
            case "trail" -> keep(link, words);
            default -> {}
        }
    }

    /**
     * Has a piece of a trail agreed on; it is acknowledged once it is, and once only kept, however
     * often it came.
     */
    private void keep(NodeLink link, ObjectNode words) {
        AuditSegment segment = AuditSegment.decode(words.path("text").asText()).orElse(null);
        if (segment == null
                || !segment.node().equals(link.name)
                || segment.incarnation() != link.incarnation) {
            LOG.warn("a piece of a trail that can't be", kv("node", link.name));
            return;
        }
        trails.ask(
                RecordCaller.changes(
                        List.of(new Precondition(segment.key(), 0)),
                        List.of(Mutation.put(segment.key(), segment.encode()))),
                CALL,
                outcome -> {
                    if (outcome.done() || outcome.reason().equals("condition")) {
                        link.say(JsonMessages.newMessage("kept").put("number", segment.number()));
                    }
                });
    }

    void gone(NodeLink link) {
        if (links.remove(link.name, link)) {
            listener.unlinked(link);
        }
        link.waiting.values().forEach(waiting -> waiting.heard.accept(null));
        link.waiting.clear();
    }
}
