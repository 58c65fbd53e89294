package embershift.raft;

import embershift.raft.Raft.Role;
import java.util.Optional;

/**
 * Elections (thesis, 3.4), pre-votes (9.6) and the changes between the roles of follower,
 * pre-candidate, candidate and leader. {@link Leadership} implements what a leader does.
 */
final class ElectionProtocol {

    private final RaftState state;
    private final Election election;
    private final Leadership leadership;

    ElectionProtocol(RaftState state, long seed, Leadership leadership) {
        this.state = state;
        this.leadership = leadership;
        election = new Election(state.timing, seed);
    }

    /**
     * Handles a tick of a non-leader; starts a pre-vote if its timer expired and it is eligible.
     */
    void tick() {
        if (election.tick() && mayStandForElection()) {
            startPreVote();
        }
    }

    /** Makes the next tick start an election. */
    void expireTimer() {
        election.expireTimer();
    }

    /** Whether a leader is known and was heard from within the minimum election timeout. */
    boolean hasRecentLeader() {
        return state.hasLeader() && election.isWithinMinimumTimeout();
    }

    /** Becomes a follower in the current term, with no known leader. */
    void stepDown() {
        becomeFollower(state.term, MemberId.NONE);
    }

    /** Becomes a follower in a term; {@code leader} is {@link MemberId#NONE} while unknown. */
    void becomeFollower(long term, MemberId leader) {
        boolean isChange =
                term > state.term || state.role != Role.FOLLOWER || !state.leader.equals(leader);
        if (term > state.term) {
            state.term = term;
            state.votedFor = MemberId.NONE;
            state.writeHardState();
        }
        if (state.isLeader()) {
            leadership.end();
        }
        if (state.role != Role.FOLLOWER) {
            election.restartTimer();
        }
        state.role = Role.FOLLOWER;
        state.leader = leader;
        if (leader.isPresent()) {
            election.resetTimer();
        }
        if (isChange) {
            state.environment.becameFollower(state.term, state.leader());
        }
    }

    private boolean mayStandForElection() {
        boolean mayHaveForgottenVotes = state.isUntrusted && state.membership().voters().size() > 1;
        return state.membership().isVoter(state.self)
                && !state.writes.isStalled()
                && !mayHaveForgottenVotes;
    }

    private void startPreVote() {
        election.restartTimer();
        state.role = Role.PRE_CANDIDATE;
        state.leader = MemberId.NONE;
        election.begin();
        election.recordVote(state.self, true);
        state.environment.becameFollower(state.term, Optional.empty());
        if (election.outcome(state.membership()) == Election.Outcome.WON) {
            startElection(false);
            return;
        }
        requestVotes(
                new RaftMessage.VoteRequest(
                        state.term + 1, state.log.lastIndex(), state.log.lastTerm(), true, false));
    }

    private void startElection(boolean isLeadershipTransfer) {
        state.role = Role.CANDIDATE;
        state.leader = MemberId.NONE;
        state.term++;
        state.votedFor = state.self;
        election.begin();
        state.writeHardState();
        state.environment.becameFollower(state.term, Optional.empty());
        long electionTerm = state.term;
        state.writes.whenDurable(
                () -> {
                    if (state.term == electionTerm && state.role == Role.CANDIDATE) {
                        requestVotes(isLeadershipTransfer);
                    }
                });
    }

    private void requestVotes(boolean isLeadershipTransfer) {
        requestVotes(
                new RaftMessage.VoteRequest(
                        state.term,
                        state.log.lastIndex(),
                        state.log.lastTerm(),
                        false,
                        isLeadershipTransfer));
        election.recordVote(state.self, true);
        concludeElection();
    }

    private void requestVotes(RaftMessage.VoteRequest request) {
        for (MemberId voter : state.membership().voters()) {
            if (!voter.equals(state.self)) {
                state.environment.send(voter, request);
            }
        }
    }

    private void concludeElection() {
        switch (election.outcome(state.membership())) {
            case WON -> {
                if (state.role == Role.PRE_CANDIDATE) {
                    startElection(false);
                } else {
                    leadership.begin();
                }
            }
            case LOST -> stepDown();
            case PENDING -> {
                // Decided by further votes, or the timer starts another election.
            }
        }
    }

    void onVoteRequest(MemberId from, RaftMessage.VoteRequest request) {
        if (!mayVoteFor(from, request)) {
            state.sendWhenDurable(
                    from, new RaftMessage.VoteReply(state.term, false, request.preVote()));
        } else if (request.preVote()) {
            state.sendWhenDurable(from, new RaftMessage.VoteReply(request.term(), true, true));
        } else {
            election.resetTimer();
            if (!state.votedFor.isPresent()) {
                state.votedFor = from;
                state.writeHardState();
            }
            state.sendWhenDurable(from, new RaftMessage.VoteReply(state.term, true, false));
        }
    }

    private boolean mayVoteFor(MemberId candidate, RaftMessage.VoteRequest request) {
        boolean hasVote =
                (request.preVote() && request.term() > state.term)
                        || candidate.equals(state.votedFor)
                        || (!state.votedFor.isPresent() && !state.hasLeader());
        long lastTerm = state.log.lastTerm();
        boolean isUpToDate =
                request.lastTerm() > lastTerm
                        || (request.lastTerm() == lastTerm
                                && request.lastIndex() >= state.log.lastIndex());
        return hasVote && isUpToDate && !state.isUntrusted && !state.isLeader();
    }

    void onVoteReply(MemberId from, RaftMessage.VoteReply reply) {
        boolean isOfThisElection =
                reply.preVote()
                        ? state.role == Role.PRE_CANDIDATE
                                && (!reply.granted() || reply.term() == state.term + 1)
                        : state.role == Role.CANDIDATE;
        if (isOfThisElection) {
            election.recordVote(from, reply.granted());
            concludeElection();
        }
    }

    void onTimeoutNow() {
        boolean maySucceed =
                state.membership().isVoter(state.self)
                        && !state.isLeader()
                        && !state.writes.isStalled()
                        && !state.isUntrusted;
        if (maySucceed) {
            election.restartTimer();
            startElection(true);
        }
    }
}
