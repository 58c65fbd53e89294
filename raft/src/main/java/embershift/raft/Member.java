package embershift.raft;

/**
 * A member of a group.
 *
 * @param address where the other members reach it, as HOST:PORT, unless their settings say
 *     otherwise
 */
public record Member(MemberId id, String name, String address, Role role) {

    /** The part that a member has in the group. */
    public enum Role {
        /** Counts for every quorum. */
        VOTER(0),
        /** Receives the log, and becomes a voter once it has caught up. */
        JOINING(1),
        /** Receives the log, and never votes. */
        LEARNER(2);

        private final int code;

        Role(int code) {
            this.code = code;
        }

        /** Returns the number that stands for this role in messages and on disk. */
        public int code() {
            return code;
        }

        static Role fromCode(int code) {
            for (Role each : values()) {
                if (each.code == code) {
                    return each;
                }
            }
            throw new MalformedBytesException("a member of role " + code);
        }
    }

    Member withRole(Role otherRole) {
        return new Member(id, name, address, otherRole);
    }
}
