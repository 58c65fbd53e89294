package embershift.hosted;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.door.Frames;
import embershift.door.Toml;
import embershift.door.Words;
import embershift.fleet.Answer;
import embershift.fleet.Command;
import embershift.fleet.Condition;
import embershift.fleet.Event;
import embershift.fleet.Item;
import embershift.fleet.Replica;
import embershift.fleet.SessionId;
import embershift.fleet.Write;
import embershift.raft.Member;
import embershift.raft.Raft;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** What callers may ask of an instance, as JSON, and what they are answered. */
final class Calls {

    private static final int VERSION = 1;

    /** Whoever waits for an answer. */
    interface Waiter {
        void hears(long call, Answer answer);
    }

    private Calls() {}

    /** Answers a call, now or later. */
    static void take(Instance instance, Instance.Entrance entrance, byte[] piece)
            throws Frames.Unreadable {
        ObjectNode call = Words.read(piece);
        long id = call.path("id").asLong();
        Waiter waiter =
                (number, answer) -> {
                    entrance.answered(number);
                    entrance.answer(written(id, answer));
                };
        if (call.path("version").asInt(VERSION) != VERSION) {
            waiter.hears(
                    0,
                    new Answer.Refused(
                            Answer.Reason.UNREADABLE,
                            "calls of version " + VERSION + " are known here"));
            return;
        }
        Replica replica = instance.replica();
        double now = instance.now();
        String name = call.path("call").asText();
        switch (name) {
            case "status" -> entrance.answer(status(id, instance));
            case "found" -> {
                String no = instance.found();
                waiter.hears(
                        0,
                        no == null
                                ? new Answer.Done(0)
                                : new Answer.Refused(Answer.Reason.MEMBERS, no));
            }
            case "open" ->
                    replica.change(
                            now,
                            entrance.waits(waiter),
                            new Command.Open(
                                    call.path("client").asText(), call.path("seconds").asDouble()));
            case "end" ->
                    replica.change(now, entrance.waits(waiter), new Command.End(session(call)));
            case "renew" -> replica.renew(now, entrance.waits(waiter), session(call));
            case "change" -> replica.change(now, entrance.waits(waiter), change(call));
            case "get" ->
                    replica.read(now, entrance.waits(waiter), call.path("key").asText(), false);
            case "list" ->
                    replica.read(now, entrance.waits(waiter), call.path("prefix").asText(), true);
            case "watch" ->
                    replica.watch(
                            now,
                            entrance.waits(waiter),
                            call.path("prefix").asText(),
                            call.path("from").asLong());
            case "add", "remove", "transfer" -> {
                if (!replica.leads()) {
                    // What this instance knows of the members may be old, or nothing.
                    replica.read(now, entrance.waits(waiter), "", false);
                    return;
                }
                if (name.equals("add")) {
                    add(instance, entrance, waiter, call);
                    return;
                }
                Member member =
                        replica.raft()
                                .membership()
                                .findByName(call.path("name").asText())
                                .orElse(null);
                if (member == null) {
                    waiter.hears(
                            0,
                            new Answer.Refused(
                                    Answer.Reason.MEMBERS,
                                    "there is no " + call.path("name").asText()));
                } else if (name.equals("remove")) {
                    replica.remove(now, entrance.waits(waiter), member.id());
                } else {
                    replica.transfer(now, entrance.waits(waiter), member.id());
                }
            }
            default ->
                    waiter.hears(
                            0,
                            new Answer.Refused(
                                    Answer.Reason.UNREADABLE, "there is no call " + name));
        }
    }

    private static void add(
            Instance instance, Instance.Entrance entrance, Waiter waiter, ObjectNode call) {
        if (!Toml.isAddress(call.path("address").asText())) {
            waiter.hears(
                    0, new Answer.Refused(Answer.Reason.UNREADABLE, "an address is HOST:PORT"));
        } else {
            instance.add(
                    entrance.waits(waiter),
                    call.path("address").asText(),
                    call.path("learner").asBoolean() ? Member.Role.LEARNER : Member.Role.JOINING);
        }
    }

    private static SessionId session(ObjectNode call) {
        return new SessionId(call.path("session").asLong());
    }

    private static Command.Change change(ObjectNode call) {
        List<Condition> conditions = new ArrayList<>();
        for (JsonNode condition : call.path("conditions")) {
            conditions.add(
                    new Condition(
                            condition.path("key").asText(), condition.path("revision").asLong()));
        }
        List<Write> writes = new ArrayList<>();
        for (JsonNode write : call.path("writes")) {
            writes.add(
                    new Write(
                            write.path("key").asText(),
                            write.path("value").isTextual() ? write.path("value").asText() : null,
                            write.path("bound").asBoolean()));
        }
        return new Command.Change(
                session(call),
                call.path("number").asLong(),
                call.path("open").asLong(),
                conditions,
                writes);
    }

    private static ObjectNode written(long id, Answer answer) {
        ObjectNode node = Words.node().put("id", id);
        if (answer instanceof Answer.Done done) {
            node.put("end", "done").put("number", done.number());
        } else if (answer instanceof Answer.Found found) {
            node.put("end", "done").put("revision", found.revision());
            ArrayNode items = node.putArray("items");
            for (Item item : found.items()) {
                items.addObject()
                        .put("key", item.key())
                        .put("value", item.value())
                        .put("revision", item.revision())
                        .put("created", item.created())
                        .put("session", item.session().number());
            }
        } else if (answer instanceof Answer.Seen seen) {
            node.put("end", "done").put("next", seen.next());
            ArrayNode events = node.putArray("events");
            for (Event event : seen.events()) {
                events.addObject()
                        .put("key", event.key())
                        .put("value", event.value())
                        .put("revision", event.revision());
            }
        } else if (answer instanceof Answer.Refused refused) {
            node.put("end", "refused")
                    .put(
                            "reason",
                            refused.reason().name().toLowerCase(Locale.ROOT).replace('_', '-'))
                    .put("text", refused.text());
        } else if (answer instanceof Answer.Unknown unknown) {
            node.put("end", "unknown").put("text", unknown.text());
        }
        return node;
    }

    /** What callers are told of a role; the names are part of the protocol. */
    static String wireName(Raft.Role role) {
        return switch (role) {
            case FOLLOWER -> "follower";
            case PRE_CANDIDATE -> "looking_ahead";
            case CANDIDATE -> "candidate";
            case LEADER -> "leader";
        };
    }

    private static ObjectNode status(long id, Instance instance) {
        Raft raft = instance.replica().raft();
        String leader = raft.leader().flatMap(raft.membership()::find).map(Member::name).orElse("");
        ObjectNode node =
                Words.node()
                        .put("id", id)
                        .put("end", "done")
                        .put("name", instance.name())
                        .put("member", instance.identity().id().toString())
                        .put("group", Long.toHexString(instance.identity().group()))
                        .put("role", wireName(raft.role()))
                        .put("term", raft.term())
                        .put("leader", leader)
                        .put("last", raft.lastIndex())
                        .put("agreed", raft.commitIndex())
                        .put("applied", instance.replica().record().applied())
                        .put("revision", instance.replica().record().revision())
                        .put("doubt", raft.isUntrusted())
                        .put("log-files", instance.logFiles());
        ArrayNode members = node.putArray("members");
        for (Member member : raft.membership().members()) {
            ObjectNode each =
                    members.addObject()
                            .put("name", member.name())
                            .put("id", member.id().toString())
                            .put("address", member.address())
                            .put("role", member.role().name().toLowerCase(Locale.ROOT));
            if (raft.role() == Raft.Role.LEADER) {
                each.put("has", raft.matchIndexOf(member.id()))
                        .put("heard", raft.isRecentlyActive(member.id()));
            }
        }
        ObjectNode counts = node.putObject("counts");
        instance.counts().forEach(counts::put);
        return node;
    }
}
