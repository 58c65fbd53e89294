package embershift.fleet.endpoints;

import java.util.Map;
import java.util.Set;

/**
 * A change of the endpoint list, or the whole list.
 *
 * @param number of the list after it, by its publisher's count
 * @param baseNumber of the list that it changes, or 0 for a whole list
 * @param generation of discovery's list that it comes from
 * @param changed entries by host, as discovery wrote them
 * @param removed hosts that are not listed any more
 */
public record EndpointUpdate(
        long number,
        long baseNumber,
        long generation,
        Map<String, String> changed,
        Set<String> removed) {

    /** Whether this is a whole list. */
    public boolean isFullList() {
        return baseNumber == 0;
    }
}
