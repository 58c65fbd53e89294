package embershift.raft;

/** The reason why a member rejects a proposal or a membership change. */
public enum RejectionReason {
    /** Only the leader accepts requests. */
    NOT_LEADER,
    /** A leadership transfer is in progress. */
    TRANSFERRING_LEADERSHIP,
    /** Too much data is uncommitted, or the group has the maximum number of members. */
    OVERLOADED,
    /** The command is too large. */
    TOO_LARGE,
    /** Another membership change is not committed yet. */
    CHANGE_IN_PROGRESS,
    /** The member already belongs to the group, or is already the leader. */
    ALREADY_DONE,
    /** The group already has a member of that name. */
    NAME_TAKEN,
    /** The group has no such member, or it is not a voter. */
    UNKNOWN_MEMBER,
    /** The only voter can't be removed. */
    LAST_VOTER,
    /** Without the member, too few voters would be active and up to date. */
    QUORUM_AT_RISK
}
