package embershift.door;

import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.fleet.audit.HybridLogicalClock;
import embershift.fleet.lease.FencingToken;
import embershift.fleet.lease.TaskId;
import java.util.Optional;

/**
 * A message from a control-plane instance to a node.
 *
 * @param clock the instance's hybrid logical clock, if it is valid
 * @param floor the lowest revision with which a node may be ready
 * @param instanceTime the instance's own clock in seconds, which the node's messages return
 */
record InstanceMessage(
        Optional<HybridLogicalClock> clock, long floor, double instanceTime, Content content) {

    /** The content of a message. */
    sealed interface Content {}

    /** The node is registered, with this incarnation. */
    record Welcome(long incarnation) implements Content {}

    /** A report of the node was received. */
    record ReportReceived() implements Content {}

    /**
     * An order from the holder of a task's lease.
     *
     * @param reportClock what the node's clock showed in the latest report that the holder had
     *     received
     * @param body the message, from which {@link OrderAction} is decoded
     */
    record Order(long id, TaskId task, FencingToken token, double reportClock, ObjectNode body)
            implements Content {}

    /** A segment of the node's audit log is stored. */
    record SegmentStored(long number) implements Content {}

    /** The node is shut out and may no longer act for the fleet. */
    record ShutOut(String reason) implements Content {}

    /** A message of a type that this version does not know. */
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
