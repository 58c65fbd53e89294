package embershift.raft;

import java.util.ArrayList;
import java.util.List;

/**
 * The log in memory: all behind a base, which is the last place whose entry is not here any more.
 */
final class Entries {

    private long base;
    private long baseTerm;
    private final ArrayList<Entry> list = new ArrayList<>();

    Entries(long base, long baseTerm) {
        reset(base, baseTerm);
    }

    void reset(long index, long term) {
        base = index;
        baseTerm = term;
        list.clear();
    }

    long base() {
        return base;
    }

    long last() {
        return base + list.size();
    }

    long lastTerm() {
        return term(last());
    }

    /** -1 where the entry is not here. */
    long term(long index) {
        if (index == base) {
            return baseTerm;
        }
        return index < base || index > last() ? -1 : get(index).term();
    }

    Entry get(long index) {
        return list.get((int) (index - base - 1));
    }

    void add(Entry entry) {
        if (entry.index() != last() + 1) {
            throw new IllegalStateException("entry " + entry.index() + " after " + last());
        }
        list.add(entry);
    }

    /** Takes away this one and all behind it. */
    void cutFrom(long index) {
        list.subList((int) (index - base - 1), list.size()).clear();
    }

    /** Takes away all up to this one. */
    void dropThrough(long index) {
        if (index > base) {
            long term = term(index);
            list.subList(0, (int) (index - base)).clear();
            list.trimToSize();
            base = index;
            baseTerm = term;
        }
    }

    /** Those from this one on, at least one if there is any, and not over so many bytes. */
    List<Entry> from(long index, int bytes) {
        List<Entry> some = new ArrayList<>();
        int sum = 0;
        for (long i = index; i <= last(); i++) {
            Entry entry = get(i);
            sum += entry.cost();
            if (sum > bytes && !some.isEmpty()) {
                break;
            }
            some.add(entry);
        }
        return some;
    }

    /**
     * The last place at or before this one whose term is not later than this one; the base at the
     * least.
     */
    long lastNotAfter(long index, long term) {
        long at = Math.min(index, last());
        while (at > base && term(at) > term) {
            at--;
        }
        return at;
    }
}
