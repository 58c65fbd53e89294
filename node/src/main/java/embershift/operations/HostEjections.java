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
 * The hosts that are ejected by operators, through this process or through another one that serves
 * at the same address, or by the control plane. All methods run on the loop's thread; calls to the
 * {@link Store}, which may block on a disk, run on a background thread in the order in which they
 * were requested.
 */
public final class HostEjections {

    /** Storage by which ejections outlast this process. Called on the background thread. */
    public interface Store {

        /**
         * Stores one change.
         *
         * @param known the ejections in effect in this process, used where the stored ones can't be
         *     read any more
         * @param inTime whether the operator may still be waiting; once it is false, the change
         *     must not overwrite one that another process has stored since
         */
        StoreResult change(
                HostId host, boolean eject, Collection<HostId> known, BooleanSupplier inTime);

        /** All ejections that are in effect, or null where they can't be read now. */
        Collection<HostId> read();
    }

    /**
     * The result of a change.
     *
     * @param ejected all hosts that are ejected now, or null where that is not known
     */
    public record StoreResult(Outcome outcome, Collection<HostId> ejected) {}

    /**
     * Whether a change was stored, is in effect in this process only, or came so late that it must
     * not overwrite what other processes have been told meanwhile.
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

    /** Ejections in effect in this process only, because they could not be stored. */
    private final Set<HostId> unstored = new LinkedHashSet<>();

    /** Hosts ejected by others than this node's operators, by the source of the ejection. */
    private final Map<String, Set<HostId>> ejectedBySource = new HashMap<>();

    /** Changes requested in this process; what was read before the latest one is out of date. */
    private long changeCount;

    /** Ejections that {@code store} keeps; null where they end with this process. */
    public HostEjections(EventLoop loop, Router router, Store store) {
        this.loop = loop;
        this.router = router;
        this.store = store;
    }

    /** Ejects a host or readmits it; {@code done} is called once the outcome is known. */
    void setEjected(HostId host, boolean eject, Consumer<Outcome> done) {
        long change = ++changeCount;
        double answerDeadline = loop.now() + StallDetector.ANSWER_DEADLINE_SECONDS;
        applyLocally(
                host,
                eject,
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
                                                eject,
                                                known,
                                                () -> loop.now() < answerDeadline);
                                loop.execute(
                                        () -> {
                                            if (result.outcome == Outcome.HERE_ONLY && eject) {
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

    private void applyLocally(HostId host, boolean eject, Runnable done) {
        if (eject) {
            ejected.add(host);
        } else {
            ejected.remove(host);
        }
        router.setOutOfService(host, isEjected(host), done);
    }

    /** Whether the host is ejected, by whichever source. */
    public boolean isEjected(HostId host) {
        return ejected.contains(host)
                || ejectedBySource.values().stream().anyMatch(hosts -> hosts.contains(host));
    }

    /** Replaces the hosts that {@code source} ejects; ejections by other sources stay in effect. */
    public void replaceEjectedBy(String source, Collection<HostId> hosts) {
        Set<HostId> affected = new LinkedHashSet<>(hosts);
        affected.addAll(ejectedBySource.getOrDefault(source, Set.of()));
        Map<HostId, Boolean> wasEjected = new HashMap<>();
        affected.forEach(host -> wasEjected.put(host, isEjected(host)));
        ejectedBySource.put(source, new LinkedHashSet<>(hosts));
        for (HostId host : affected) {
            if (isEjected(host) != wasEjected.get(host)) {
                router.setOutOfService(host, isEjected(host), () -> {});
            }
        }
    }

    /** The hosts that {@code source} ejects. */
    public Set<HostId> ejectedBy(String source) {
        return Set.copyOf(ejectedBySource.getOrDefault(source, Set.of()));
    }

    /**
     * Reads and applies the stored ejections, as another process may have been told of a change.
     */
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

    /** Applies the stored ejections; does nothing for null, where they are not known. */
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
