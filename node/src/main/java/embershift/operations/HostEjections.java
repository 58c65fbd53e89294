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
public final class HostEjections {

    /** Where bans outlast this process. Called aside. */
    public interface Store {

        /**
         * Keeps one change. {@code known}: the bans that hold here, for where what was kept can't
         * be read any more. {@code inTime}: whether the caller may still wait; once not, no change
         * goes over one that another kept since.
         */
        StoreResult change(
                HostId host, boolean ejected, Collection<HostId> known, BooleanSupplier inTime);

        /** All bans that hold, or null where that can't be read now. */
        Collection<HostId> read();
    }

    /**
     * What became of a change; {@code bans}: all that hold now, or null where that can't be told.
     */
    public record StoreResult(Outcome outcome, Collection<HostId> ejected) {}

    /**
     * Kept; holds in this process only; or came so late that it may not go over what others were
     * told meanwhile.
     */
    public enum Outcome {
        KEPT,
        HERE_ONLY,
        TOO_LATE
    }

    private final EventLoop loop;
    private final Router router;
    private final Store store;
    private final Set<HostId> ejected = new LinkedHashSet<>();

    /** Bans that hold here only, as they could not be kept. */
    private final Set<HostId> unstored = new LinkedHashSet<>();

    /** Hosts that others than this node's operators have out, by who that is. */
    private final Map<String, Set<HostId>> ejectedBySource = new HashMap<>();

    /** Changes asked for here: what was read before the latest of them is out of date. */
    private long changeCount;

    /** {@code keeping} null: bans end with this process. */
    public HostEjections(EventLoop loop, Router router, Store store) {
        this.loop = loop;
        this.router = router;
        this.store = store;
    }

    /** Takes a host out or back; {@code done} hears once it is known what became of that. */
    void setEjected(HostId host, boolean isEjected, Consumer<Outcome> done) {
        long change = ++changeCount;
        double answerDeadline = loop.now() + StallDetector.ANSWER_DEADLINE_SECONDS;
        applyLocally(
                host,
                isEjected,
                () -> {
                    if (store == null) {
                        done.accept(Outcome.HERE_ONLY);
                        return;
                    }
                    List<HostId> known = List.copyOf(ejected);
                    loop.executeBlocking(
                            () -> {
                                StoreResult result =
                                        store.change(
                                                host,
                                                isEjected,
                                                known,
                                                () -> loop.now() < answerDeadline);
                                loop.execute(
                                        () -> {
                                            if (result.outcome == Outcome.HERE_ONLY && isEjected) {
                                                unstored.add(host);
                                            } else {
                                                unstored.remove(host);
                                            }
                                            if (change == changeCount) {
                                                applyStored(result.ejected);
                                            }
                                            done.accept(result.outcome);
                                        });
                            });
                });
    }

    private void applyLocally(HostId host, boolean isEjected, Runnable done) {
        if (isEjected) {
            ejected.add(host);
        } else {
            ejected.remove(host);
        }
        router.setOutOfService(host, isEjected(host), done);
    }

    /** Whether the host is out by hand, whoever said so. */
    public boolean isEjected(HostId host) {
        return ejected.contains(host)
                || ejectedBySource.values().stream().anyMatch(some -> some.contains(host));
    }

    /**
     * From now on these are the hosts that {@code whose} has out; what others say of a host stays.
     */
    public void replaceEjectedBy(String source, Collection<HostId> hosts) {
        Set<HostId> affected = new LinkedHashSet<>(hosts);
        affected.addAll(ejectedBySource.getOrDefault(source, Set.of()));
        Map<HostId, Boolean> before = new HashMap<>();
        affected.forEach(host -> before.put(host, isEjected(host)));
        ejectedBySource.put(source, new LinkedHashSet<>(hosts));
        for (HostId host : affected) {
            if (isEjected(host) != before.get(host)) {
                router.setOutOfService(host, isEjected(host), () -> {});
            }
        }
    }

    /** The hosts that {@code whose} has out. */
    public Set<HostId> ejectedBy(String source) {
        return Set.copyOf(ejectedBySource.getOrDefault(source, Set.of()));
    }

    /** Goes by what is kept now, as the other process may have been told something. */
    public void reloadStored() {
        long countBefore = changeCount;
        loop.executeBlocking(
                () -> {
                    Collection<HostId> stored = store.read();
                    loop.execute(
                            () -> {
                                if (countBefore == changeCount) {
                                    applyStored(stored);
                                }
                            });
                });
    }

    /** Goes by these bans; null where they are not known. */
    public void applyStored(Collection<HostId> stored) {
        if (stored == null) {
            return;
        }
        Set<HostId> all = new LinkedHashSet<>(stored);
        all.addAll(unstored);
        for (HostId host : all) {
            if (!ejected.contains(host)) {
                applyLocally(host, true, () -> {});
            }
        }
        for (HostId host : List.copyOf(ejected)) {
            if (!all.contains(host)) {
                applyLocally(host, false, () -> {});
            }
        }
    }
}
