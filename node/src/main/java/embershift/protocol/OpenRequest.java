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

/** A client's OPEN line: the received bytes and those of its fields that decisions need. */
public final class OpenRequest {

    private static final String PREFIX = "OPEN ";

    /** A number of milliseconds above zero and below twelve days. */
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

    /** Parses a line that begins with {@code OPEN}. */
    public static OpenRequest parse(byte[] line) throws MalformedDataException {
        OpenRequest request = new OpenRequest(line);
        request.parseLine(LineCodec.decode(line));
        return request;
    }

    /** Whether the line begins as an OPEN line does; its fields may still be malformed. */
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
                // Protects timers and hosts: Java would also parse 1e300, 0x1p9 or 5f.
                // A second d would be passed on to the host unchanged.
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
            default -> {} // passed on to the host with the rest of the line
        }
    }

    /**
     * Returns the line for a host: unchanged except for {@code d}, the time that this node will
     * wait.
     */
    public ByteBuffer encodeForHost(double waitSeconds) {
        byte[] digits =
                Long.toString(Math.max(1, (long) (waitSeconds * 1e3)))
                        .getBytes(StandardCharsets.ISO_8859_1);
        ByteBuffer out =
                ByteBuffer.allocate(line.length - (timeoutEnd - timeoutStart) + digits.length);
        out.put(line, 0, timeoutStart).put(digits).put(line, timeoutEnd, line.length - timeoutEnd);
        return out.flip();
    }

    /** Returns the id that the client gave the tunnel. */
    public TunnelId id() {
        return id;
    }

    /** Returns the line's key: what the tunnel is about. */
    public SubjectId subject() {
        return subject;
    }

    /** Returns the profile, which each line names. */
    public ProfileId profile() {
        return profile;
    }

    /** Returns the participant, or null if the line names none. */
    public ParticipantId participant() {
        return participant;
    }

    /** Returns the group, or null if the line names none. */
    public GroupId group() {
        return group;
    }

    /** Returns the host at which this tunnel was open before the node started, or null. */
    public HostId resumeHost() {
        return resumeHost;
    }

    /** Returns the seconds that the client waits, from when it sent the line. */
    public double clientTimeout() {
        return clientTimeout;
    }
}
