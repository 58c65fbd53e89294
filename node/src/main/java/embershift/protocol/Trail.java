package embershift.protocol;

import java.nio.ByteBuffer;

/**
 * Follows the lines that a host sends through an open tunnel: which one came last, and whether the
 * stream now stands between two lines. Only the head of an unfinished line is kept.
 */
public final class Trail {

    /** Enough for each word that decides something, with its report. */
    private static final int HEAD = 160;

    private byte[] head;
    private int held;
    private boolean between = true;
    private HostLine last = new HostLine(HostLine.Word.OTHER, Report.NONE);
    private double load = Double.NaN;

    /** Looks at what is passed on; the buffer's position stays. */
    public void follow(ByteBuffer bytes) {
        int start = bytes.position();
        for (int i = start; i < bytes.limit(); i++) {
            if (bytes.get(i) == '\n') {
                endLine(bytes, start, i + 1);
                start = i + 1;
            }
        }
        between = start == bytes.limit() && (bytes.hasRemaining() || between);
        if (start < bytes.limit()) {
            keep(bytes, start, bytes.limit());
        }
    }

    private void endLine(ByteBuffer bytes, int from, int to) {
        byte first = held > 0 ? head[0] : bytes.get(from);
        // Other lines are the clients' own affair: their text is not looked at.
        boolean telling = first == 'B' || first == 'M' || first == 'E' || first == 'L';
        if (telling) {
            keep(bytes, from, to);
            last = HostLine.read(Line.text(java.util.Arrays.copyOf(head, held)));
            if (last.word() == HostLine.Word.LOAD) {
                load = last.report().single();
            }
        } else {
            last = new HostLine(HostLine.Word.OTHER, Report.NONE);
        }
        head = null;
        held = 0;
    }

    private void keep(ByteBuffer bytes, int from, int to) {
        int many = Math.min(to - from, HEAD - held);
        if (many > 0) {
            byte[] grown = new byte[held + many];
            if (head != null) {
                System.arraycopy(head, 0, grown, 0, held);
            }
            bytes.get(from, grown, held, many);
            head = grown;
            held = grown.length;
        }
    }

    /** Whether all that was passed on ended with the end of a line. */
    public boolean betweenLines() {
        return between;
    }

    public HostLine last() {
        return last;
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
