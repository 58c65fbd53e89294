package embershift.fleet.restart;

import java.util.Locale;

/** What operators want of a rolling restart. The lower-case names are stored and are commands. */
public enum OperatorIntent {
    /** It goes on. */
    GO,
    /** It does not begin anything new until it is to go on. */
    PAUSE,
    /** What was not begun is left alone, the rest is returned to service. This is final. */
    ABORT;

    /** Reads the stored text: the name, which a reason may follow. Any other text is a go. */
    public static OperatorIntent decode(String text) {
        String name = text.split(" ", 2)[0];
        for (OperatorIntent each : values()) {
            if (each.encode().equals(name)) {
                return each;
            }
        }
        return GO;
    }

    /** Returns the stored text. */
    public String encode() {
        return name().toLowerCase(Locale.ROOT);
    }
}
