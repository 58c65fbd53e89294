package embershift.protocol;

import embershift.model.HostId;
import embershift.model.RosterEntry;
import embershift.model.ZoneId;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A message from discovery: the full list of hosts or changes to it, and the address at which this
 * node reaches each host.
 *
 * @param malformedEntries number of entries that could not be parsed and are left out
 */
public record RosterUpdate(
        long generation,
        boolean full,
        List<RosterEntry> entries,
        Map<HostId, InetSocketAddress> addresses,
        int malformedEntries) {

    /** Parses the JSON text of an update. */
    public static RosterUpdate parse(String text) throws MalformedDataException {
        return fromJson(Json.parse(text));
    }

    /** Reads an update that is part of a larger JSON text. */
    public static RosterUpdate fromJson(Object json) throws MalformedDataException {
        JsonObject update = new JsonObject("list of hosts", json);
        List<RosterEntry> entries = new ArrayList<>();
        Map<HostId, InetSocketAddress> addresses = new LinkedHashMap<>();
        int malformedEntries = 0;
        for (JsonObject item : update.items("instances")) {
            try {
                RosterEntry entry = parseEntry(item);
                String address = item.textOr("hostPort", null);
                if (address != null) {
                    addresses.put(entry.host(), Addresses.parse(address));
                }
                entries.add(entry);
            } catch (MalformedDataException e) {
                // One malformed entry must not lose the others.
                malformedEntries++;
            }
        }
        return new RosterUpdate(
                (long) update.number("generation"),
                update.flagOr("reset", false),
                List.copyOf(entries),
                addresses,
                malformedEntries);
    }

    private static RosterEntry parseEntry(JsonObject item) throws MalformedDataException {
        RosterEntry.State state =
                switch (item.textOr("lifecycle", "")) {
                    case "in_service" -> RosterEntry.State.READY;
                    case "terminating" -> RosterEntry.State.DRAINING;
                    // A state introduced by a later version must not make the whole update fail.
                    default -> RosterEntry.State.GONE;
                };
        String zone = item.textOr("zone", null);
        return new RosterEntry(
                new HostId(item.text("instanceId")),
                state,
                zone == null ? null : new ZoneId(zone),
                item.numberOr("weight", 1),
                (int) item.numberOr("cell", 0),
                item.numberOr("startedAtMs", 0) / 1e3);
    }
}
