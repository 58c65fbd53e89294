package embershift.emulator.day;

import java.util.List;

/**
 * Whom a trouble befalls: {@code hosts}, {@code nodes}, {@code clients}, {@code store} or {@code
 * roster}, then any of {@code zone NAME}, {@code kind NAME}, {@code profile NAME}, {@code named
 * ID,ID} and {@code share PART}. A share is drawn among those that the rest leaves, at least one of
 * them.
 */
public record Whom(
        String sort, String zone, String kind, String profile, List<String> named, double share) {

    private static final List<String> SORTS =
            List.of("hosts", "nodes", "clients", "store", "roster");

    /** Reads the words; the exception's message says in one line what is wrong with them. */
    public static Whom read(String words) throws UnreadableDay {
        String[] parts = words.trim().split("\\s+");
        if (!SORTS.contains(parts[0])) {
            throw new UnreadableDay("\"" + parts[0] + "\" is none of " + String.join(", ", SORTS));
        }
        String zone = null;
        String kind = null;
        String profile = null;
        List<String> named = List.of();
        double share = 1;
        for (int i = 1; i < parts.length; i += 2) {
            if (i + 1 == parts.length) {
                throw new UnreadableDay("nothing follows \"" + parts[i] + "\"");
            }
            String value = parts[i + 1];
            switch (parts[i]) {
                case "zone" -> zone = value;
                case "kind" -> kind = value;
                case "profile" -> profile = value;
                case "named" -> named = List.of(value.split(","));
                case "share" -> share = share(value);
                default ->
                        throw new UnreadableDay(
                                "\""
                                        + parts[i]
                                        + "\" is none of zone, kind, profile, named, share");
            }
        }
        return new Whom(parts[0], zone, kind, profile, named, share);
    }

    private static double share(String value) throws UnreadableDay {
        try {
            double share = Double.parseDouble(value);
            if (share > 0 && share <= 1) {
                return share;
            }
        } catch (NumberFormatException e) {
            // Told below like a number out of range.
        }
        throw new UnreadableDay("share " + value + " is no part of 1");
    }
}
