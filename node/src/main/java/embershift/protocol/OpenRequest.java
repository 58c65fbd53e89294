package embershift.protocol;

import embershift.model.GroupId;
import embershift.model.HostId;
import embershift.model.ParticipantId;
import embershift.model.ProfileId;
import embershift.model.SubjectId;
import embershift.model.TunnelId;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/**
 * The line with which a client begins: the bytes as they came, and of its fields what decisions
 * need.
 */
public final class OpenRequest {

    private static final String PREFIX = "OPEN ";

    /** Above nought, and under twelve days. */
    private static final Pattern MILLISECONDS =
            Pattern.compile("0{0,9}[1-9]\\d{0,8}(\\.\\d{0,9})?");

    private final byte[] line;
    private int timeoutStart = -1;
    private int timeoutEnd = -1;
    private TunnelId id;
    private SubjectId subject;
    private ProfileId profile;
    private ParticipantId participant;
    private GroupId group;
    private HostId resumeHost;
    private double clientTimeout;

    private OpenRequest(byte[] line) {
        this.line = line;
    }

    /** Reads a line that begins with {@code OPEN}. */
    public static OpenRequest parse(byte[] line) throws MalformedDataException {
        OpenRequest opening = new OpenRequest(line);
        opening.parseLine(LineCodec.decode(line));
        return opening;
    }

    public static boolean isOpenLine(String text) {
        return text.startsWith(PREFIX);
    }

    private void parseLine(String text) throws MalformedDataException {
        int afterId = text.indexOf(' ', PREFIX.length());
        int afterKey = afterId < 0 ? -1 : text.indexOf(' ', afterId + 1);
        if (afterKey < 0 || afterId == PREFIX.length() || afterKey == afterId + 1) {
            throw new MalformedDataException(
                    "OPEN wants an id, a key and a list of names and values");
        }
        id = new TunnelId(text.substring(PREFIX.length(), afterId));
        subject = new SubjectId(text.substring(afterId + 1, afterKey));
        int at = afterKey + 1;
        while (at < text.length()) {
            int comma = text.indexOf(',', at);
            int end = comma < 0 ? text.length() : comma;
            int equals = text.indexOf('=', at);
            if (equals > at && equals < end) {
                parseField(
                        text.substring(at, equals),
                        text.substring(equals + 1, end),
                        equals + 1,
                        end);
            }
            at = end + 1;
        }
        if (profile == null) {
            throw new MalformedDataException("OPEN names no profile (c)");
        }
        if (timeoutStart < 0) {
            throw new MalformedDataException("OPEN does not say how long the client will wait (d)");
        }
    }

    private void parseField(String name, String value, int from, int to)
            throws MalformedDataException {
        switch (name) {
            case "c" -> profile = new ProfileId(value);
            case "d" -> {
                // Guards timers and what goes on to hosts: Java would read 1e300, 0x1p9 or 5f as
                // well. A second
                // one would stay as it came.
                if (timeoutStart >= 0 || !MILLISECONDS.matcher(value).matches()) {
                    throw new MalformedDataException(
                            "d is no number of milliseconds above 0, or comes twice");
                }
                clientTimeout = Double.parseDouble(value) / 1e3;
                timeoutStart = from;
                timeoutEnd = to;
            }
            case "g" -> group = new GroupId(value);
            case "tenant" -> participant = new ParticipantId(value);
            case "at" -> resumeHost = new HostId(value);
            default -> {} // goes on to the host like the rest of the line
        }
    }

    /** The line as it goes to a host: byte for byte, but for how long this node will wait. */
    public ByteBuffer encodeForHost(double wait) {
        byte[] digits =
                Long.toString(Math.max(1, (long) (wait * 1e3)))
                        .getBytes(StandardCharsets.ISO_8859_1);
        ByteBuffer out =
                ByteBuffer.allocate(line.length - (timeoutEnd - timeoutStart) + digits.length);
        out.put(line, 0, timeoutStart).put(digits).put(line, timeoutEnd, line.length - timeoutEnd);
        return out.flip();
    }

    public TunnelId id() {
        return id;
    }

    public SubjectId subject() {
        return subject;
    }

    public ProfileId profile() {
        return profile;
    }

    /** Null where the line names none; so for the group and the host. */
    public ParticipantId participant() {
        return participant;
    }

    public GroupId group() {
        return group;
    }

    /** The host at which this connection was open before the node started, or null. */
    public HostId resumeHost() {
        return resumeHost;
    }

    /** Seconds for which the client will wait, from when it sent the line. */
    public double clientTimeout() {
        return clientTimeout;
    }
}
