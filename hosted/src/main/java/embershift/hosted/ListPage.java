package embershift.hosted;

import embershift.fleet.store.KeyValue;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * A part of a list of items that fits into one frame.
 *
 * @param hasMore whether further items follow the last one
 */
record ListPage(List<KeyValue> items, boolean hasMore) {

    /**
     * Characters of items from which a page is complete. With one more item, and with what JSON
     * escapes, it stays below the size of a frame.
     */
    static final int MAX_CHARS = 512 << 10;

    /** Characters that are counted for each item in addition to its key and value. */
    private static final int ITEM_CHARS = 128;

    /** Returns the first page of the items, which are sorted, whose key is after this one. */
    static ListPage after(String key, Collection<KeyValue> sorted) {
        List<KeyValue> items = new ArrayList<>();
        int chars = 0;
        for (KeyValue item : sorted) {
            if (item.key().compareTo(key) <= 0) {
                continue;
            }
            if (chars >= MAX_CHARS) {
                return new ListPage(items, true);
            }
            items.add(item);
            chars += ITEM_CHARS + item.key().length() + item.value().length();
        }
        return new ListPage(items, false);
    }
}
