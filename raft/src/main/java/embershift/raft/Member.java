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
        VOTER,
        JOINING,
        LEARNER
    }

    Member as(Role other) {
        return new Member(id, name, address, other);
    }
}
