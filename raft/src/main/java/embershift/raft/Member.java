package embershift.raft;

/**
 * An instance as all know it. {@code address}: where the others reach it, unless they were told
 * otherwise.
 */
public record Member(MemberId id, String name, String address, Role role) {

    /**
     * A voter counts; one that joins is to become a voter once it has caught up; a learner only
     * follows.
     */
    public enum Role {
        VOTER(0),
        JOINING(1),
        LEARNER(2);

        private final int code;

        Role(int code) {
            this.code = code;
        }

        /** The number that stands for it in messages and on disk. */
        public int code() {
            return code;
        }

        static Role of(int code) {
            for (Role each : values()) {
                if (each.code == code) {
                    return each;
                }
            }
            throw new Codec.Unreadable("a member of role " + code);
        }
    }

    Member as(Role other) {
        return new Member(id, name, address, other);
    }
}
