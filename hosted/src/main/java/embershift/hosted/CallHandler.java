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

/** Carries out the JSON calls that clients make to an instance, and writes the answers. */
final class CallHandler {

    private static final int PROTOCOL_VERSION = 1;

    /** Waits for the result of a call. */
    interface ResultListener {
        void completed(long callId, CallResult result);
    }

    private CallHandler() {}

    /** Handles a call; the answer is sent now or later. */
    static void handle(Instance instance, InboundConnection connection, byte[] frame)
            throws FrameCodec.MalformedFrameException {
        ObjectNode call = JsonMessages.decodeFrame(frame);
        long id = call.path("id").asLong();
        ResultListener listener =
                (callId, result) -> {
                    connection.callAnswered(callId);
                    connection.sendAnswer(answer(id, result));
                };
        if (call.path("version").asInt(PROTOCOL_VERSION) != PROTOCOL_VERSION) {
            listener.completed(
                    0,
                    new CallResult.Rejected(
                            CallResult.Reason.MALFORMED,
                            "calls of version " + PROTOCOL_VERSION + " are known here"));
            return;
        }
        ReplicatedStore replica = instance.replica();
        double now = instance.now();
        String name = call.path("call").asText();
        switch (name) {
            case "status" -> connection.sendAnswer(statusAnswer(id, instance));
            case "found" -> {
                String rejection = instance.createGroup();
                listener.completed(
                        0,
                        rejection == null
                                ? new CallResult.Done(0)
                                : new CallResult.Rejected(CallResult.Reason.MEMBERSHIP, rejection));
            }
            case "open" ->
                    replica.submit(
                            now,
                            connection.registerCall(listener),
                            new StoreCommand.OpenSession(
                                    call.path("client").asText(), call.path("seconds").asDouble()));
            case "end" ->
                    replica.submit(
                            now,
                            connection.registerCall(listener),
                            new StoreCommand.EndSession(sessionId(call)));
            case "renew" ->
                    replica.renewSession(now, connection.registerCall(listener), sessionId(call));
            case "change" ->
                    replica.submit(now, connection.registerCall(listener), transaction(call));
            case "get" ->
                    replica.read(now, connection.registerCall(listener), call.path("key").asText());
            case "list" ->
                    replica.readPrefix(
                            now,
                            connection.registerCall(
                                    call.path("paged").asBoolean()
                                            ? pagedListener(connection, id, call)
                                            : unpagedListener(listener)),
                            call.path("prefix").asText());
            case "watch" ->
                    replica.watch(
                            now,
                            connection.registerCall(listener),
                            call.path("prefix").asText(),
                            call.path("from").asLong());
            case "add", "remove", "transfer" -> {
                if (!replica.isLeader()) {
                    // This instance may know an old membership or none. A read makes the
                    // store answer that it does not lead.
                    replica.read(now, connection.registerCall(listener), "");
                    return;
                }
                if (name.equals("add")) {
                    addMember(instance, connection, listener, call);
                    return;
                }
                Member member =
                        replica.raft()
                                .membership()
                                .findByName(call.path("name").asText())
                                .orElse(null);
                if (member == null) {
                    listener.completed(
                            0,
                            new CallResult.Rejected(
                                    CallResult.Reason.MEMBERSHIP,
                                    "there is no " + call.path("name").asText()));
                } else if (name.equals("remove")) {
                    replica.removeMember(now, connection.registerCall(listener), member.id());
                } else {
                    replica.transferLeadership(now, connection.registerCall(listener), member.id());
                }
            }
            default ->
                    listener.completed(
                            0,
                            new CallResult.Rejected(
                                    CallResult.Reason.MALFORMED, "there is no call " + name));
        }
    }

    /** Answers with the items after the call's {@code after} key that fit into one answer. */
    private static ResultListener pagedListener(
            InboundConnection connection, long id, ObjectNode call) {
        return (callId, result) -> {
            connection.callAnswered(callId);
            if (!(result instanceof CallResult.Found found)) {
                connection.sendAnswer(answer(id, result));
                return;
            }
            ListPage page = ListPage.after(call.path("after").asText(), found.keyValues());
            CallResult items = new CallResult.Found(found.revision(), page.items());
            connection.sendAnswer(answer(id, items).put("more", page.hasMore()));
        };
    }

    /** Refuses a list of all items that does not fit into one answer. */
    private static ResultListener unpagedListener(ResultListener listener) {
        return (callId, result) ->
                listener.completed(
                        callId,
                        result instanceof CallResult.Found found
                                        && ListPage.after("", found.keyValues()).hasMore()
                                ? new CallResult.Rejected(
                                        CallResult.Reason.TOO_LARGE,
                                        "the items fit into one answer only in pages")
                                : result);
    }

    private static void addMember(
            Instance instance,
            InboundConnection connection,
            ResultListener listener,
            ObjectNode call) {
        if (!TomlSettings.isValidAddress(call.path("address").asText())) {
            listener.completed(
                    0,
                    new CallResult.Rejected(
                            CallResult.Reason.MALFORMED, "an address is HOST:PORT"));
        } else {
            instance.addMember(
                    connection.registerCall(listener),
                    call.path("address").asText(),
                    call.path("learner").asBoolean() ? Member.Role.LEARNER : Member.Role.JOINING);
        }
    }

    private static SessionId sessionId(ObjectNode call) {
        return new SessionId(call.path("session").asLong());
    }

    static StoreCommand.Transaction transaction(ObjectNode call) {
        List<Precondition> preconditions = new ArrayList<>();
        for (JsonNode condition : call.path("conditions")) {
            preconditions.add(
                    new Precondition(
                            condition.path("key").asText(), condition.path("revision").asLong()));
        }
        List<Mutation> mutations = new ArrayList<>();
        for (JsonNode write : call.path("writes")) {
            mutations.add(
                    new Mutation(
                            write.path("key").asText(),
                            Optional.of(write.path("value"))
                                    .filter(JsonNode::isTextual)
                                    .map(JsonNode::asText),
                            write.path("bound").asBoolean()));
        }
        return new StoreCommand.Transaction(
                sessionId(call),
                call.path("number").asLong(),
                call.path("open").asLong(),
                preconditions,
                mutations);
    }

    private static ObjectNode answer(long id, CallResult result) {
        ObjectNode answer = JsonMessages.newObject().put("id", id);
        if (result instanceof CallResult.Done done) {
            answer.put("end", "done").put("number", done.number());
        } else if (result instanceof CallResult.Found found) {
            answer.put("end", "done").put("revision", found.revision());
            ArrayNode items = answer.putArray("items");
            for (KeyValue item : found.keyValues()) {
                items.addObject()
                        .put("key", item.key())
                        .put("value", item.value())
                        .put("revision", item.revision())
                        .put("created", item.createRevision())
                        .put("session", item.session().number());
            }
        } else if (result instanceof CallResult.Changed changed) {
            answer.put("end", "done").put("next", changed.nextRevision());
            ArrayNode events = answer.putArray("events");
            for (WatchEvent event : changed.events()) {
                events.addObject()
                        .put("key", event.key())
                        .put("value", event.value().orElse(null))
                        .put("revision", event.revision());
            }
        } else if (result instanceof CallResult.Rejected rejected) {
            answer.put("end", "refused")
                    .put("reason", rejected.reason().wireName())
                    .put("text", rejected.message());
        } else if (result instanceof CallResult.Unknown unknown) {
            answer.put("end", "unknown").put("text", unknown.message());
        }
        return answer;
    }

    /** Returns the name of a role in answers; the names are part of the protocol. */
    static String wireName(Raft.Role role) {
        return switch (role) {
            case FOLLOWER -> "follower";
            case PRE_CANDIDATE -> "looking_ahead";
            case CANDIDATE -> "candidate";
            case LEADER -> "leader";
        };
    }

    private static ObjectNode statusAnswer(long id, Instance instance) {
        Raft raft = instance.replica().raft();
        String leader = raft.leader().flatMap(raft.membership()::find).map(Member::name).orElse("");
        ObjectNode answer =
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
                        .put("log-files", instance.logFileCount());
        ArrayNode members = answer.putArray("members");
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
        ObjectNode counts = answer.putObject("counts");
        instance.counters().forEach(counts::put);
        return answer;
    }
}
