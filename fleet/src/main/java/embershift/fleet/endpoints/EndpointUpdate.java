package embershift.fleet.endpoints;

import java.util.Map;
import java.util.Set;

/**
 * A change of the endpoint list, or the complete list.
 *
 * @param number number of the resulting list, counted by its publisher
 * @param baseNumber number of the list that is changed, or 0 for a complete list
 * @param generation generation of the list from discovery on which this is based
 * @param changed entries by host, as discovery wrote them
 * @param removed hosts that are no longer listed
 */
public record EndpointUpdate(
        long number,
        long baseNumber,
        long generation,
        Map<String, String> changed,
        Set<String> removed) {

    /** Whether this is a complete list. */
    public boolean isFullList() {
        return baseNumber == 0;
    }
}
