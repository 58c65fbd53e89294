package embershift.protocol;

/** A line from a host: its type, given by the first word, and an optional load report. */
public record HostLine(Type type, LoadReport report) {

    /** Types of lines; {@code OTHER} is any line of no known type. */
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

    /** Parses a line without its end; an unknown first word makes it {@link Type#OTHER}. */
    public static HostLine parse(String text) {
        int space = text.indexOf(' ');
        String word = space < 0 ? text : text.substring(0, space);
        Type type =
                switch (word) {
                    case "UP" -> Type.UP;
                    case "BYE" -> Type.BYE;
                    case "MOVE" -> Type.MOVE;
                    case "ERR" -> Type.ERR;
                    case "BUSY" -> Type.BUSY;
                    case "LOAD" -> Type.LOAD;
                    case "PONG" -> Type.PONG;
                    default -> Type.OTHER;
                };
        boolean mayReport = type != Type.UP && type != Type.MOVE && type != Type.OTHER;
        return new HostLine(
                type,
                mayReport && space >= 0
                        ? LoadReport.parse(text.substring(space + 1))
                        : LoadReport.NONE);
    }
}
