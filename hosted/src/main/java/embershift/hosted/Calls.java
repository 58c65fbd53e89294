package embershift.hosted;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.door.FrameCodec;
import embershift.door.JsonMessages;
import embershift.door.TomlSettings;
import embershift.fleet.store.CallResult;
import embershift.fleet.store.KeyValue;
import embershift.fleet.store.Mutation;
import embershift.fleet.store.Precondition;
import embershift.fleet.store.ReplicatedStore;
import embershift.fleet.store.SessionId;
import embershift.fleet.store.StoreCommand;
import embershift.fleet.store.WatchEvent;
import embershift.raft.Member;
import embershift.raft.Raft;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** What callers may ask of an instance, as JSON, and what they are answered. */
final class Calls {

    private static final int VERSION = 1;

    /** Whoever waits for an answer. */
    interface Waiter {
        void hears(long call, CallResult answer);
    }

    private Calls() {}

    /** Answers a call, now or later. */
    static void take(Instance instance, Instance.Entrance entrance, byte[] piece)
            throws FrameCodec.MalformedFrameException {
        ObjectNode call = JsonMessages.decodeFrame(piece);
        long id = call.path("id").asLong();
        Waiter waiter =
                (number, answer) -> {
                    entrance.answered(number);
                    entrance.answer(written(id, answer));
                };
        if (call.path("version").asInt(VERSION) != VERSION) {
            waiter.hears(
                    0,
                    new CallResult.Rejected(
                            CallResult.Reason.MALFORMED,
                            "calls of version " + VERSION + " are known here"));
            return;
        }
        ReplicatedStore replica = instance.replica();
        double now = instance.now();
        String name = call.path("call").asText();
        switch (name) {
            case "status" -> entrance.answer(status(id, instance));
            case "found" -> {
                String no = instance.found();
                waiter.hears(
                        0,
                        no == null
                                ? new CallResult.Done(0)
                                : new CallResult.Rejected(CallResult.Reason.MEMBERSHIP, no));
            }
            case "open" ->
                    replica.submit(
                            now,
                            entrance.waits(waiter),
                            new StoreCommand.OpenSession(
                                    call.path("client").asText(), call.path("seconds").asDouble()));
            case "end" ->
                    replica.submit(
                            now,
                            entrance.waits(waiter),
                            new StoreCommand.EndSession(session(call)));
            case "renew" -> replica.renewSession(now, entrance.waits(waiter), session(call));
            case "change" -> replica.submit(now, entrance.waits(waiter), change(call));
            case "get" -> replica.read(now, entrance.waits(waiter), call.path("key").asText());
            case "list" ->
                    replica.readPrefix(now, entrance.waits(waiter), call.path("prefix").asText());
            case "watch" ->
                    replica.watch(
                            now,
                            entrance.waits(waiter),
                            call.path("prefix").asText(),
                            call.path("from").asLong());
            case "add", "remove", "transfer" -> {
                if (!replica.isLeader()) {
                    // What this instance knows of the members may be old, or nothing.
                    replica.read(now, entrance.waits(waiter), "");
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
                            new CallResult.Rejected(
                                    CallResult.Reason.MEMBERSHIP,
                                    "there is no " + call.path("name").asText()));
                } else if (name.equals("remove")) {
                    replica.removeMember(now, entrance.waits(waiter), member.id());
                } else {
                    replica.transferLeadership(now, entrance.waits(waiter), member.id());
                }
            }
            default ->
                    waiter.hears(
                            0,
                            new CallResult.Rejected(
                                    CallResult.Reason.MALFORMED, "there is no call " + name));
        }
    }

    private static void add(
            Instance instance, Instance.Entrance entrance, Waiter waiter, ObjectNode call) {
        if (!TomlSettings.isValidAddress(call.path("address").asText())) {
            waiter.hears(
                    0,
                    new CallResult.Rejected(
                            CallResult.Reason.MALFORMED, "an address is HOST:PORT"));
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

    private static StoreCommand.Transaction change(ObjectNode call) {
        List<Precondition> conditions = new ArrayList<>();
        for (JsonNode condition : call.path("conditions")) {
            conditions.add(
                    new Precondition(
                            condition.path("key").asText(), condition.path("revision").asLong()));
        }
        List<Mutation> writes = new ArrayList<>();
        for (JsonNode write : call.path("writes")) {
            writes.add(
                    new Mutation(
                            write.path("key").asText(),
                            Optional.of(write.path("value"))
                                    .filter(JsonNode::isTextual)
                                    .map(JsonNode::asText),
                            write.path("bound").asBoolean()));
        }
        return new StoreCommand.Transaction(
                session(call),
                call.path("number").asLong(),
                call.path("open").asLong(),
                conditions,
                writes);
    }

    private static ObjectNode written(long id, CallResult answer) {
        ObjectNode node = JsonMessages.newObject().put("id", id);
        if (answer instanceof CallResult.Done done) {
            node.put("end", "done").put("number", done.number());
        } else if (answer instanceof CallResult.Found found) {
            node.put("end", "done").put("revision", found.revision());
            ArrayNode items = node.putArray("items");
            for (KeyValue item : found.keyValues()) {
                items.addObject()
                        .put("key", item.key())
                        .put("value", item.value())
                        .put("revision", item.revision())
                        .put("created", item.createRevision())
                        .put("session", item.session().number());
            }
        } else if (answer instanceof CallResult.Changed seen) {
            node.put("end", "done").put("next", seen.nextRevision());
            ArrayNode events = node.putArray("events");
            for (WatchEvent event : seen.events()) {
                events.addObject()
                        .put("key", event.key())
                        .put("value", event.value().orElse(null))
                        .put("revision", event.revision());
            }
        } else if (answer instanceof CallResult.Rejected refused) {
            node.put("end", "refused")
                    .put("reason", refused.reason().wireName())
                    .put("text", refused.message());
        } else if (answer instanceof CallResult.Unknown unknown) {
            node.put("end", "unknown").put("text", unknown.message());
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
                JsonMessages.newObject()
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
                        .put("applied", instance.replica().store().appliedIndex())
                        .put("revision", instance.replica().store().revision())
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
