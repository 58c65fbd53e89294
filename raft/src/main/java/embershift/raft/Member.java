package embershift.raft;

/**
 * A member of a group.
 *
 * @param address the address for other members, as HOST:PORT, unless overridden by their settings
 */
public record Member(MemberId id, String name, String address, Role role) {

    /** The role of a member in the group. */
    public enum Role {
        /** Votes, and counts towards every quorum. */
        VOTER(0),
        /** Receives the log and becomes a voter once it has caught up. */
        JOINING(1),
        /** Receives the log but never votes. */
        LEARNER(2);

        private final int code;

        Role(int code) {
            this.code = code;
        }

        /** Returns the code of this role in messages and on disk. */
        public int code() {
            return code;
        }

        static Role fromCode(int code) {
            for (Role each : values()) {
                if (each.code == code) {
                    return each;
                }
            }
            throw new MalformedBytesException("unknown member role " + code);
        }
    }

    Member withRole(Role otherRole) {
        return new Member(id, name, address, otherRole);
    }
}
