package embershift.protocol;

/** A line from a host: its first word, and the load report that may follow. */
public record HostLine(Word word, Report report) {

    /** What hosts say; {@code OTHER} is any line that is none of this. */
    public enum Word {
        UP,
        BYE,
        MOVE,
        ERR,
        BUSY,
        LOAD,
        PONG,
        OTHER
    }

    public static HostLine read(String text) {
        int space = text.indexOf(' ');
        String first = space < 0 ? text : text.substring(0, space);
        Word word =
                switch (first) {
                    case "UP" -> Word.UP;
                    case "BYE" -> Word.BYE;
                    case "MOVE" -> Word.MOVE;
                    case "ERR" -> Word.ERR;
                    case "BUSY" -> Word.BUSY;
                    case "LOAD" -> Word.LOAD;
                    case "PONG" -> Word.PONG;
                    default -> Word.OTHER;
                };
        boolean mayReport = word != Word.UP && word != Word.MOVE && word != Word.OTHER;
        return new HostLine(
                word,
                mayReport && space >= 0 ? Report.read(text.substring(space + 1)) : Report.NONE);
    }
}
