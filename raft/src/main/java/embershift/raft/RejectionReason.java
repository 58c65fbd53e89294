package embershift.raft;

/** Why a member does not take a proposal or a change of the membership. */
public enum RejectionReason {
    /** Only the leader takes them. */
    NOT_LEADER,
    /** The leader is handing over to another member. */
    TRANSFERRING_LEADERSHIP,
    /** Too much is waiting to be committed, or the group has too many members. */
    OVERLOADED,
    /** The command is too large. */
    TOO_LARGE,
    /** Another change of the membership is not committed yet. */
    CHANGE_IN_PROGRESS,
    /** The member belongs to the group, or leads, already. */
    ALREADY_DONE,
    /** A member of that name belongs to the group. */
    NAME_TAKEN,
    /** No such member belongs to the group, or it is not a voter. */
    UNKNOWN_MEMBER,
    /** The only voter can't be removed. */
    LAST_VOTER,
    /** Without the member too few voters would be reached and up to date. */
    QUORUM_AT_RISK
}
