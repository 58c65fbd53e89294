package embershift.operations;

import embershift.model.HostId;
import embershift.routing.Router;
import embershift.transport.EventLoop;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * The hosts out by hand: what was called here, and what the other process at this address was told
 * meanwhile. On the loop; what waits for a disk is done aside, in the order in which it was asked
 * for.
 */
public final class Bans {

    /** Where bans outlast this process. Called aside. */
    public interface Keeping {

        /**
         * Keeps one change. {@code known}: the bans that hold here, for where what was kept can't
         * be read any more. {@code inTime}: whether the caller may still wait; once not, no change
         * goes over one that another kept since.
         */
        Kept change(HostId host, boolean out, Collection<HostId> known, BooleanSupplier inTime);

        /** All bans that hold, or null where that can't be read now. */
        Collection<HostId> read();
    }

    /**
     * What became of a change; {@code bans}: all that hold now, or null where that can't be told.
     */
    public record Kept(End end, Collection<HostId> bans) {}

    /**
     * Kept; holds in this process only; or came so late that it may not go over what others were
     * told meanwhile.
     */
    public enum End {
        KEPT,
        HERE_ONLY,
        TOO_LATE
    }

    private final EventLoop loop;
    private final Router router;
    private final Keeping keeping;
    private final Set<HostId> out = new LinkedHashSet<>();

    /** Bans that hold here only, as they could not be kept. */
    private final Set<HostId> notKept = new LinkedHashSet<>();

    /** Hosts that others than this node's operators have out, by who that is. */
    private final Map<String, Set<HostId>> others = new HashMap<>();

    /** Changes asked for here: what was read before the latest of them is out of date. */
    private long changes;

    /** {@code keeping} null: bans end with this process. */
    public Bans(EventLoop loop, Router router, Keeping keeping) {
        this.loop = loop;
        this.router = router;
        this.keeping = keeping;
    }

    /** Takes a host out or back; {@code done} hears once it is known what became of that. */
    void change(HostId host, boolean banned, Consumer<End> done) {
        long change = ++changes;
        double owed = loop.now() + Stillness.OWED;
        set(
                host,
                banned,
                () -> {
                    if (keeping == null) {
                        done.accept(End.HERE_ONLY);
                        return;
                    }
                    List<HostId> known = List.copyOf(out);
                    loop.executeBlocking(
                            () -> {
                                Kept kept =
                                        keeping.change(
                                                host, banned, known, () -> loop.now() < owed);
                                loop.execute(
                                        () -> {
                                            if (kept.end == End.HERE_ONLY && banned) {
                                                notKept.add(host);
                                            } else {
                                                notKept.remove(host);
                                            }
                                            if (change == changes) {
                                                follow(kept.bans);
                                            }
                                            done.accept(kept.end);
                                        });
                            });
                });
    }

    private void set(HostId host, boolean banned, Runnable done) {
        if (banned) {
            out.add(host);
        } else {
            out.remove(host);
        }
        router.byHand(host, holds(host), done);
    }

    /** Whether the host is out by hand, whoever said so. */
    public boolean holds(HostId host) {
        return out.contains(host) || others.values().stream().anyMatch(some -> some.contains(host));
    }

    /**
     * From now on these are the hosts that {@code whose} has out; what others say of a host stays.
     */
    public void by(String whose, Collection<HostId> hosts) {
        Set<HostId> touched = new LinkedHashSet<>(hosts);
        touched.addAll(others.getOrDefault(whose, Set.of()));
        Map<HostId, Boolean> before = new HashMap<>();
        touched.forEach(host -> before.put(host, holds(host)));
        others.put(whose, new LinkedHashSet<>(hosts));
        for (HostId host : touched) {
            if (holds(host) != before.get(host)) {
                router.byHand(host, holds(host), () -> {});
            }
        }
    }

    /** The hosts that {@code whose} has out. */
    public Set<HostId> of(String whose) {
        return Set.copyOf(others.getOrDefault(whose, Set.of()));
    }

    /** Goes by what is kept now, as the other process may have been told something. */
    public void readAgain() {
        long before = changes;
        loop.executeBlocking(
                () -> {
                    Collection<HostId> kept = keeping.read();
                    loop.execute(
                            () -> {
                                if (before == changes) {
                                    follow(kept);
                                }
                            });
                });
    }

    /** Goes by these bans; null where they are not known. */
    public void follow(Collection<HostId> kept) {
        if (kept == null) {
            return;
        }
        Set<HostId> all = new LinkedHashSet<>(kept);
        all.addAll(notKept);
        for (HostId host : all) {
            if (!out.contains(host)) {
                set(host, true, () -> {});
            }
        }
        for (HostId host : List.copyOf(out)) {
            if (!all.contains(host)) {
                set(host, false, () -> {});
            }
        }
    }
}
