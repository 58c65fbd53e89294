package embershift.fleet;

import java.util.Map;
import java.util.Set;

/**
 * What is new in a list of hosts. {@code number}: of the list after it, by its owner's count;
 * {@code base}: of the list that it is told against, 0 for a whole list. {@code generation}: of
 * discovery, whose word this is. Each entry is a text of discovery's.
 */
public record HostsChange(
        long number, long base, long generation, Map<String, String> changed, Set<String> gone) {}
