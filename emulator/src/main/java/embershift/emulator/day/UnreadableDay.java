package embershift.emulator.day;

/** A day's file is wrong; the message is one line for its author. */
public final class UnreadableDay extends Exception {
    private static final long serialVersionUID = 1;

    public UnreadableDay(String message) {
        super(message);
    }
}
