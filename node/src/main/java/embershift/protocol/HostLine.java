package embershift.protocol;

/** A line from a host: its first word, and the load report that may follow. */
public record HostLine(Type type, LoadReport report) {

    /** What hosts say; {@code OTHER} is any line that is none of this. */
    public enum Type {
        UP,
        BYE,
        MOVE,
        ERR,
        BUSY,
        LOAD,
        PONG,
        OTHER
    }

    public static HostLine parse(String text) {
        int space = text.indexOf(' ');
        String first = space < 0 ? text : text.substring(0, space);
        Type word =
                switch (first) {
                    case "UP" -> Type.UP;
                    case "BYE" -> Type.BYE;
                    case "MOVE" -> Type.MOVE;
                    case "ERR" -> Type.ERR;
                    case "BUSY" -> Type.BUSY;
                    case "LOAD" -> Type.LOAD;
                    case "PONG" -> Type.PONG;
                    default -> Type.OTHER;
                };
        boolean mayReport = word != Type.UP && word != Type.MOVE && word != Type.OTHER;
        return new HostLine(
                word,
                mayReport && space >= 0
                        ? LoadReport.parse(text.substring(space + 1))
                        : LoadReport.NONE);
    }
}
