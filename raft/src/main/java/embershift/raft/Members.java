package embershift.raft;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** Who belongs to the group, as of one entry of the log. Unchangeable; at most {@code MOST}. */
public final class Members {

    public static final int MOST = 32;
    public static final Members NONE = new Members(new TreeMap<>());

    private final SortedMap<MemberId, Member> all;
    private final List<MemberId> voters;

    private Members(SortedMap<MemberId, Member> all) {
        this.all = all;
        voters =
                all.values().stream()
                        .filter(member -> member.role() == Member.Role.VOTER)
                        .map(Member::id)
                        .toList();
    }

    public static Members of(Collection<Member> members) {
        TreeMap<MemberId, Member> all = new TreeMap<>();
        members.forEach(member -> all.put(member.id(), member));
        return new Members(all);
    }

    public Members with(Member member) {
        TreeMap<MemberId, Member> more = new TreeMap<>(all);
        more.put(member.id(), member);
        return new Members(more);
    }

    public Members without(MemberId id) {
        TreeMap<MemberId, Member> fewer = new TreeMap<>(all);
        fewer.remove(id);
        return new Members(fewer);
    }

    /** In the order of their ids. */
    public Collection<Member> all() {
        return Collections.unmodifiableCollection(all.values());
    }

    /** Null where there is none of that id. */
    public Member get(MemberId id) {
        return all.get(id);
    }

    /** Null where there is none of that name. */
    public Member named(String name) {
        return all.values().stream()
                .filter(member -> member.name().equals(name))
                .findFirst()
                .orElse(null);
    }

    public List<MemberId> voters() {
        return voters;
    }

    public boolean votes(MemberId id) {
        return voters.contains(id);
    }

    /** How many voters agree for all. */
    public int majority() {
        return voters.size() / 2 + 1;
    }

    public int size() {
        return all.size();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Members members && all.equals(members.all);
    }

    @Override
    public int hashCode() {
        return all.hashCode();
    }

    @Override
    public String toString() {
        Map<String, Member.Role> named = new TreeMap<>();
        all.values().forEach(member -> named.put(member.name(), member.role()));
        return named.toString();
    }
}
