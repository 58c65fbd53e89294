package embershift.hosted;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.door.JsonMessages;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.StreamSupport;

/** The administrators' commands on the members of the group of instances. */
final class MembershipCommands {

    private MembershipCommands() {}

    static Map<String, FleetCommands.Command> all() {
        Map<String, FleetCommands.Command> commands = new LinkedHashMap<>();
        commands.put("found", new CreateGroup());
        commands.put("add", new AddMember());
        commands.put("remove", new RemoveMember());
        commands.put("transfer", new TransferLeadership());
        return commands;
    }

    /**
     * A command whose call carries no number, so that its outcome may be unknown after a lost
     * answer. It is then decided by the state of the group, where that shows the effect.
     */
    private abstract static class MembershipCommand extends FleetCommands.Command {

        private static final double MAX_STATUS_SECONDS = 1;
        private static final long CHECK_PAUSE_MILLIS = 100;

        @Override
        final int run() {
            List<InetSocketAddress> addresses = addresses();
            long deadline = System.nanoTime() + (long) (timeoutSeconds * 1e9);
            StoreClient.Outcome outcome;
            try (StoreClient client = new StoreClient(addresses, "fleet")) {
                outcome = client.call(newCall(), timeoutSeconds);
            }
            if (outcome.isUnknown() && awaitEffect(addresses, deadline)) {
                outcome = new StoreClient.Outcome("done", JsonMessages.newObject());
            }
            int exitStatus = printOutcome(outcome);
            if (outcome.isUnknown() && !isJson) {
                System.out.println("it may have been done or may be: `fleet members` shows it");
            }
            return exitStatus;
        }

        /** Whether the leader's status shows the effect of this command. */
        abstract boolean isEffective(ObjectNode leaderStatus);

        /** Whether a member of the group fits; compares one of its fields with a value. */
        static boolean hasMember(ObjectNode status, String field, String value) {
            return StreamSupport.stream(status.path("members").spliterator(), false)
                    .map((JsonNode member) -> member.path(field).asText())
                    .anyMatch(value::equals);
        }

        private boolean awaitEffect(List<InetSocketAddress> addresses, long deadline) {
            while (System.nanoTime() < deadline) {
                Optional<ObjectNode> status = committedStatus(addresses);
                if (status.isPresent()) {
                    return isEffective(status.get());
                }
                try {
                    Thread.sleep(CHECK_PAUSE_MILLIS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return false;
                }
            }
            return false;
        }

        /**
         * Returns the status of the leader of the latest term that answers, if all its entries are
         * committed: a membership that it only has in its log may still be lost.
         */
        private static Optional<ObjectNode> committedStatus(List<InetSocketAddress> addresses) {
            return Optional.ofNullable(FleetCommands.latestStatus(addresses, MAX_STATUS_SECONDS))
                    .filter(FleetCommands::isLeader)
                    .filter(each -> each.path("agreed").asLong() == each.path("last").asLong());
        }
    }

    @Parameters(
            commandDescription =
                    "Create a group whose only member is this instance, which has an empty folder")
    private static final class CreateGroup extends MembershipCommand {
        @Override
        ObjectNode newCall() {
            return StoreClient.newCall("found");
        }

        @Override
        boolean isEffective(ObjectNode leaderStatus) {
            return leaderStatus.path("members").size() == 1
                    && hasMember(leaderStatus, "name", leaderStatus.path("name").asText());
        }
    }

    @Parameters(
            commandDescription =
                    "ADDRESS: add the instance there to the group once it has caught up")
    private static final class AddMember extends MembershipCommand {
        @Parameter(
                names = "--learner",
                description = "Replicate to the instance without a vote for it")
        private boolean isLearner;

        @Override
        ObjectNode newCall() {
            requireArguments(1, "add ADDRESS");
            return StoreClient.newCall("add")
                    .put("address", arguments.get(0))
                    .put("learner", isLearner);
        }

        @Override
        boolean isEffective(ObjectNode leaderStatus) {
            return hasMember(leaderStatus, "address", arguments.get(0));
        }
    }

    @Parameters(commandDescription = "NAME: remove an instance from the group")
    private static final class RemoveMember extends MembershipCommand {
        @Override
        ObjectNode newCall() {
            requireArguments(1, "remove NAME");
            return StoreClient.newCall("remove").put("name", arguments.get(0));
        }

        @Override
        boolean isEffective(ObjectNode leaderStatus) {
            return !hasMember(leaderStatus, "name", arguments.get(0));
        }
    }

    @Parameters(commandDescription = "NAME: transfer the leadership to this instance")
    private static final class TransferLeadership extends MembershipCommand {
        @Override
        ObjectNode newCall() {
            requireArguments(1, "transfer NAME");
            return StoreClient.newCall("transfer").put("name", arguments.get(0));
        }

        @Override
        boolean isEffective(ObjectNode leaderStatus) {
            return leaderStatus.path("name").asText().equals(arguments.get(0));
        }
    }
}
