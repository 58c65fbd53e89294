package embershift.protocol;

import java.nio.ByteBuffer;

/**
 * Observes the lines that a host sends through an open tunnel: which one was last, and whether the
 * stream is at a line boundary. Only the beginning of an incomplete line is kept.
 */
public final class HostLineTracker {

    /** Sufficient for every line that is evaluated, including its load report. */
    private static final int MAX_KEPT_BYTES = 160;

    private byte[] partial;
    private int partialLength;
    private boolean atLineBoundary = true;
    private HostLine lastLine = new HostLine(HostLine.Type.OTHER, LoadReport.NONE);
    private double load = Double.NaN;

    /** Observes bytes that are relayed; the buffer's position is unchanged. */
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
        // Other lines are the clients' own content and are not evaluated.
        boolean evaluated = first == 'B' || first == 'M' || first == 'E' || first == 'L';
        if (evaluated) {
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
        int count = Math.min(to - from, MAX_KEPT_BYTES - partialLength);
        if (count > 0) {
            byte[] grown = new byte[partialLength + count];
            if (partial != null) {
                System.arraycopy(partial, 0, grown, 0, partialLength);
            }
            bytes.get(from, grown, partialLength, count);
            partial = grown;
            partialLength = grown.length;
        }
    }

    /** Returns whether the observed bytes end with a line end. */
    public boolean atLineBoundary() {
        return atLineBoundary;
    }

    /**
     * Returns the last line that was observed completely, or one of type OTHER before the first.
     */
    public HostLine lastLine() {
        return lastLine;
    }

    /**
     * Returns and clears the load that the host has reported since the last call, in microseconds
     * of work per second; NaN if it has reported none.
     */
    public double takeLoad() {
        double reported = load;
        load = Double.NaN;
        return reported;
    }
}
