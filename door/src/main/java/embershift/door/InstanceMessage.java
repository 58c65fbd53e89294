package embershift.door;

import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.fleet.audit.HybridLogicalClock;
import embershift.fleet.lease.FencingToken;
import embershift.fleet.lease.TaskId;
import java.util.Optional;

/**
 * A message of a control-plane instance to a node.
 *
 * @param clock the instance's hybrid logical clock, if it can be read
 * @param floor the lowest revision on which a node may be ready
 * @param instanceTime the instance's own clock in seconds, which the node's messages bring back
 */
record InstanceMessage(
        Optional<HybridLogicalClock> clock, long floor, double instanceTime, Content content) {

    /** What the message is about. */
    sealed interface Content {}

    /** The node is registered, as this incarnation. */
    record Welcome(long incarnation) implements Content {}

    /** A report of the node has arrived. */
    record ReportReceived() implements Content {}

    /**
     * The holder of a task's lease wants something done.
     *
     * @param reportClock what the node's clock showed in its latest report to the holder
     * @param body the message, from which {@link OrderAction} reads what is to be done
     */
    record Order(long id, TaskId task, FencingToken token, double reportClock, ObjectNode body)
            implements Content {}

    /** A segment of the node's audit log is in the store. */
    record SegmentStored(long number) implements Content {}

    /** The node may not act for the fleet any more. */
    record ShutOut(String reason) implements Content {}

    /** A message of a later version. */
    record Unknown() implements Content {}

    static InstanceMessage decode(ObjectNode message) {
        return new InstanceMessage(
                HybridLogicalClock.decode(message.path("time").asText("")),
                message.path("floor").asLong(),
                message.path("at").asDouble(),
                decodeContent(message));
    }

    private static Content decodeContent(ObjectNode message) {
        return switch (message.path("kind").asText()) {
            case "welcome" -> new Welcome(message.path("incarnation").asLong());
            case "heard" -> new ReportReceived();
            case "order" ->
                    new Order(
                            message.path("id").asLong(),
                            new TaskId(message.path("duty").asText()),
                            new FencingToken(message.path("fence").asLong()),
                            message.path("seen").asDouble(),
                            message);
            case "kept" -> new SegmentStored(message.path("number").asLong());
            case "out" -> new ShutOut(message.path("why").asText());
            default -> new Unknown();
        };
    }
}
