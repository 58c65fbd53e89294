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
 * What discovery says: a whole list or changes, and at which address each host is reached from
 * here.
 */
public record RosterUpdate(
        long generation,
        boolean full,
        List<RosterEntry> listings,
        Map<HostId, InetSocketAddress> addresses,
        int malformedEntries) {

    public static RosterUpdate parse(String text) throws MalformedDataException {
        return fromJson(Json.parse(text));
    }

    /** Reads a page that stands within a larger text. */
    public static RosterUpdate fromJson(Object json) throws MalformedDataException {
        JsonObject page = new JsonObject("list of hosts", json);
        List<RosterEntry> listings = new ArrayList<>();
        Map<HostId, InetSocketAddress> addresses = new LinkedHashMap<>();
        int unreadable = 0;
        for (JsonObject item : page.items("instances")) {
            try {
                RosterEntry listing = listing(item);
                String address = item.textOr("hostPort", null);
                if (address != null) {
                    addresses.put(listing.host(), Addresses.parse(address));
                }
                listings.add(listing);
            } catch (MalformedDataException e) {
                // One bad entry must not lose the others.
                unreadable++;
            }
        }
        return new RosterUpdate(
                (long) page.number("generation"),
                page.flagOr("reset", false),
                List.copyOf(listings),
                addresses,
                unreadable);
    }

    private static RosterEntry listing(JsonObject item) throws MalformedDataException {
        RosterEntry.State state =
                switch (item.textOr("lifecycle", "")) {
                    case "in_service" -> RosterEntry.State.READY;
                    case "terminating" -> RosterEntry.State.DRAINING;
                    // A state that came up later must not keep the node from all other news.
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
