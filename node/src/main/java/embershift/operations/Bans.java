package embershift.operations;

import embershift.model.HostId;
import embershift.routing.Router;
import embershift.transport.Loop;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The hosts out by hand: what was called here, and what the other process at this address was told meanwhile. On the
 * loop; what waits for a disk is done aside, in the order in which it was asked for.
 */
public final class Bans {

    /** Where bans outlast this process. Called aside. */
    public interface Keeping {

        /**
         * Keeps one change; returns all bans that hold with it, or null where it can't be kept. {@code known}: the bans
         * that hold here, for where what was kept can't be read any more.
         */
        Collection<HostId> change(HostId host, boolean out, Collection<HostId> known);

        /** All bans that hold, or null where that can't be read now. */
        Collection<HostId> read();
    }

    private final Loop loop;
    private final Router router;
    private final Keeping keeping;
    private final Set<HostId> out = new LinkedHashSet<>();
    /** Bans that hold here only, as they could not be kept. */
    private final Set<HostId> notKept = new LinkedHashSet<>();
    /** Changes asked for here: what was read before the latest of them is out of date. */
    private long changes;

    /** {@code keeping} null: bans end with this process. */
    public Bans(Loop loop, Router router, Keeping keeping) {
        this.loop = loop;
        this.router = router;
        this.keeping = keeping;
    }

    /** Takes a host out or back; {@code done} hears once that holds, and whether it outlasts this process. */
    void change(HostId host, boolean banned, Consumer<Boolean> done) {
        long change = ++changes;
        set(host, banned, () -> {
            if (keeping == null) {
                done.accept(false);
                return;
            }
            List<HostId> known = List.copyOf(out);
            loop.aside(() -> {
                Collection<HostId> kept = keeping.change(host, banned, known);
                loop.execute(() -> {
                    if (kept == null && banned) {
                        notKept.add(host);
                    } else {
                        notKept.remove(host);
                    }
                    if (change == changes) {
                        follow(kept);
                    }
                    done.accept(kept != null);
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
        router.byHand(host, banned, done);
    }

    /** Goes by what is kept now, as the other process may have been told something. */
    public void readAgain() {
        long before = changes;
        loop.aside(() -> {
            Collection<HostId> kept = keeping.read();
            loop.execute(() -> {
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
                set(host, true, () -> { });
            }
        }
        for (HostId host : List.copyOf(out)) {
            if (!all.contains(host)) {
                set(host, false, () -> { });
            }
        }
    }
}
