package embershift.emulator.judge;

import java.util.Locale;

/** A broken rule: which, when, of which tunnel (empty for a host's) and what was seen. */
public record Breach(int rule, double at, String tunnel, String seen) {

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "rule %d at %.4f%s: %s",
                rule,
                at,
                tunnel.isEmpty() ? "" : ", tunnel " + tunnel,
                seen);
    }
}
