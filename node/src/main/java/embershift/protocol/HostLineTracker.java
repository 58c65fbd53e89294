package embershift.protocol;

import java.nio.ByteBuffer;

/**
 * Follows the lines that a host sends through an open tunnel: which one came last, and whether the
 * stream now stands between two lines. Only the head of an unfinished line is kept.
 */
public final class HostLineTracker {

    /** Enough for each word that decides something, with its report. */
    private static final int MAX_KEPT_BYTES = 160;

    private byte[] partial;
    private int partialLength;
    private boolean atLineBoundary = true;
    private HostLine lastLine = new HostLine(HostLine.Type.OTHER, LoadReport.NONE);
    private double load = Double.NaN;

    /** Looks at what is passed on; the buffer's position stays. */
    public void observe(ByteBuffer bytes) {
        int start = bytes.position();
        for (int i = start; i < bytes.limit(); i++) {
            if (bytes.get(i) == '\n') {
                endLine(bytes, start, i + 1);
                start = i + 1;
            }
        }
        atLineBoundary = start == bytes.limit() && (bytes.hasRemaining() || atLineBoundary);
        if (start < bytes.limit()) {
            keep(bytes, start, bytes.limit());
        }
    }

    private void endLine(ByteBuffer bytes, int from, int to) {
        byte first = partialLength > 0 ? partial[0] : bytes.get(from);
        // Other lines are the clients' own affair: their text is not looked at.
        boolean telling = first == 'B' || first == 'M' || first == 'E' || first == 'L';
        if (telling) {
            keep(bytes, from, to);
            lastLine =
                    HostLine.parse(
                            LineCodec.decode(java.util.Arrays.copyOf(partial, partialLength)));
            if (lastLine.type() == HostLine.Type.LOAD) {
                load = lastLine.report().bareValue();
            }
        } else {
            lastLine = new HostLine(HostLine.Type.OTHER, LoadReport.NONE);
        }
        partial = null;
        partialLength = 0;
    }

    private void keep(ByteBuffer bytes, int from, int to) {
        int many = Math.min(to - from, MAX_KEPT_BYTES - partialLength);
        if (many > 0) {
            byte[] grown = new byte[partialLength + many];
            if (partial != null) {
                System.arraycopy(partial, 0, grown, 0, partialLength);
            }
            bytes.get(from, grown, partialLength, many);
            partial = grown;
            partialLength = grown.length;
        }
    }

    /** Whether all that was passed on ended with the end of a line. */
    public boolean atLineBoundary() {
        return atLineBoundary;
    }

    public HostLine lastLine() {
        return lastLine;
    }

    /**
     * The load that the host told since the last call, in microseconds of work a second; NaN for
     * none.
     */
    public double takeLoad() {
        double taken = load;
        load = Double.NaN;
        return taken;
    }
}
