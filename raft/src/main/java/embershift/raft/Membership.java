package embershift.raft;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/** The members of a group as of one entry of the log. Immutable. */
public final class Membership {

    /** The maximum number of members in a group. */
    public static final int MAX_MEMBERS = 32;

    /** The membership of a group that is not bootstrapped yet. */
    public static final Membership EMPTY = new Membership(new TreeMap<>());

    private final SortedMap<MemberId, Member> members;
    private final List<MemberId> voters;

    private Membership(SortedMap<MemberId, Member> members) {
        this.members = members;
        voters =
                members.values().stream()
                        .filter(member -> member.role() == Member.Role.VOTER)
                        .map(Member::id)
                        .toList();
    }

    /** Creates a membership; of members with the same identity, the last one is used. */
    public static Membership of(Collection<Member> members) {
        SortedMap<MemberId, Member> byId = new TreeMap<>();
        members.forEach(member -> byId.put(member.id(), member));
        return new Membership(byId);
    }

    /** Returns a membership with a member added, or replaced if its identity exists. */
    public Membership with(Member member) {
        SortedMap<MemberId, Member> changed = new TreeMap<>(members);
        changed.put(member.id(), member);
        return new Membership(changed);
    }

    /** Returns a membership without the given member. */
    public Membership without(MemberId id) {
        SortedMap<MemberId, Member> changed = new TreeMap<>(members);
        changed.remove(id);
        return new Membership(changed);
    }

    /** Returns all members, ordered by identity. */
    public Collection<Member> members() {
        return Collections.unmodifiableCollection(members.values());
    }

    /** Returns the member with that identity. */
    public Optional<Member> find(MemberId id) {
        return Optional.ofNullable(members.get(id));
    }

    /** Returns the member with that name. */
    public Optional<Member> findByName(String name) {
        return members.values().stream().filter(member -> member.name().equals(name)).findFirst();
    }

    /** Returns the identities of all voters, sorted. */
    public List<MemberId> voters() {
        return voters;
    }

    /** Whether that member is a voter. */
    public boolean isVoter(MemberId id) {
        return voters.contains(id);
    }

    /** Returns the number of voters that form a majority. */
    public int quorum() {
        return voters.size() / 2 + 1;
    }

    /** Whether these members include a majority of the voters. */
    boolean isQuorum(Collection<MemberId> ids) {
        return ids.stream().filter(this::isVoter).count() >= quorum();
    }

    /** Returns the number of members of any role. */
    public int size() {
        return members.size();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Membership that && members.equals(that.members);
    }

    @Override
    public int hashCode() {
        return members.hashCode();
    }

    @Override
    public String toString() {
        Map<String, Member.Role> roles = new TreeMap<>();
        members.values().forEach(member -> roles.put(member.name(), member.role()));
        return roles.toString();
    }
}
