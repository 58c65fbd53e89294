package embershift.raft;

import java.util.List;
import java.util.Optional;

/**
 * The membership changes that a leader may make: one member at a time (thesis, 4.1), and none
 * before an entry of its own term is committed.
 */
final class MembershipChanges {

    private final RaftState state;
    private final Replication replication;
    private final LeadershipTransfer transfer;

    MembershipChanges(RaftState state, Replication replication, LeadershipTransfer transfer) {
        this.state = state;
        this.replication = replication;
        this.transfer = transfer;
    }

    private boolean isChangeInProgress() {
        return state.commitIndex < state.termStartIndex
                || state.memberships.latestIndex() > state.commitIndex
                || transfer.isActive();
    }

    /** Returns why a member can't be added now, or empty if it can. */
    Optional<RejectionReason> checkAdd(Member member) {
        Membership membership = state.membership();
        if (membership.find(member.id()).isPresent()) {
            return Optional.of(RejectionReason.ALREADY_DONE);
        }
        if (membership.findByName(member.name()).isPresent()) {
            return Optional.of(RejectionReason.NAME_TAKEN);
        }
        if (membership.size() >= Membership.MAX_MEMBERS) {
            return Optional.of(RejectionReason.OVERLOADED);
        }
        return checkInProgress();
    }

    /** Returns why a member can't be removed now, or empty if it can. */
    Optional<RejectionReason> checkRemove(MemberId id) {
        Membership membership = state.membership();
        if (membership.find(id).isEmpty()) {
            return Optional.of(RejectionReason.UNKNOWN_MEMBER);
        }
        if (membership.isVoter(id) && membership.voters().size() == 1) {
            return Optional.of(RejectionReason.LAST_VOTER);
        }
        Optional<RejectionReason> inProgress = checkInProgress();
        if (inProgress.isEmpty() && !hasQuorumUpToDate(membership.without(id))) {
            return Optional.of(RejectionReason.QUORUM_AT_RISK);
        }
        return inProgress;
    }

    private Optional<RejectionReason> checkInProgress() {
        return isChangeInProgress()
                ? Optional.of(RejectionReason.CHANGE_IN_PROGRESS)
                : Optional.empty();
    }

    /**
     * Whether a majority of the remaining voters is active and up to date: otherwise the group
     * could become unable to commit.
     */
    private boolean hasQuorumUpToDate(Membership remaining) {
        List<MemberId> upToDate = remaining.voters().stream().filter(this::isUpToDate).toList();
        return remaining.isQuorum(upToDate);
    }

    private boolean isUpToDate(MemberId id) {
        return replication.isActive(id)
                && (id.equals(state.self) || replication.matchIndexOf(id) >= state.commitIndex);
    }

    /** Returns the membership with a joining member promoted to voter, if one has caught up. */
    Optional<Membership> promotion() {
        if (isChangeInProgress()) {
            return Optional.empty();
        }
        return state.membership().members().stream()
                .filter(member -> member.role() == Member.Role.JOINING && hasCaughtUp(member.id()))
                .findFirst()
                .map(member -> state.membership().with(member.withRole(Member.Role.VOTER)));
    }

    private boolean hasCaughtUp(MemberId id) {
        long requiredIndex = Math.max(state.commitIndex, state.termStartIndex);
        return replication
                .progressOf(id)
                .filter(each -> each.isRecentlyActive() && each.matchIndex() >= requiredIndex)
                .isPresent();
    }
}
