package embershift.adapter;

import embershift.model.Decisions;
import embershift.model.DeclineReason;
import embershift.model.HostId;
import embershift.model.TunnelId;
import java.util.Base64;

/** Writes the decisions of one instance as lines of the reply to a batch. */
final class DecisionWriter implements Decisions {

    private final int instance;
    private final StringBuilder reply;

    DecisionWriter(int instance, StringBuilder reply) {
        this.instance = instance;
        this.reply = reply;
    }

    private StringBuilder beginLine(String message) {
        return reply.append(message).append(' ').append(instance);
    }

    @Override
    public void sendSetup(TunnelId id, HostId host, double timeout) {
        beginLine("HAND_OFF")
                .append(' ')
                .append(id.name())
                .append(' ')
                .append(host.name())
                .append(' ');
        endWithSeconds(timeout);
    }

    @Override
    public void cancelSetup(TunnelId id, int setup) {
        beginLine("CANCEL").append(' ').append(id.name()).append(' ').append(setup).append('\n');
    }

    @Override
    public void decline(TunnelId id, double retryAfter, DeclineReason reason) {
        beginLine("BOUNCE").append(' ').append(id.name()).append(' ');
        endWithSeconds(retryAfter);
    }

    @Override
    public void closeWithError(TunnelId id) {
        beginLine("GIVE_UP").append(' ').append(id.name()).append('\n');
    }

    @Override
    public void move(TunnelId id) {
        beginLine("TRANSFER").append(' ').append(id.name()).append('\n');
    }

    @Override
    public void probe(HostId host) {
        beginLine("CHECK").append(' ').append(host.name()).append('\n');
    }

    @Override
    public void closeIdle(HostId host) {
        beginLine("LET_GO").append(' ').append(host.name()).append('\n');
    }

    @Override
    public void watchRoster(boolean on) {
        beginLine("STREAM_CHANGES").append(on ? " 1\n" : " 0\n");
    }

    @Override
    public void requestRoster() {
        beginLine("PULL").append('\n');
    }

    @Override
    public void sendToNode(int node, byte[] content) {
        beginLine("SHARE")
                .append(' ')
                .append(node)
                .append(' ')
                .append(base64(content))
                .append('\n');
    }

    @Override
    public void sendToAllNodes(byte[] content) {
        beginLine("SHARE").append(" * ").append(base64(content)).append('\n');
    }

    @Override
    public void wakeAfter(double delay) {
        beginLine("WAKE_ME").append(' ');
        // There is only one kind of wake-up, so the token is always 0.
        appendSeconds(delay).append(" 0\n");
    }

    @Override
    public void logForOperators(String line) {
        beginLine("JOURNAL_LINE").append(' ').append(line.replaceAll("\\s+", " ")).append('\n');
    }

    void exception(Throwable error) {
        beginLine("EXCEPTION")
                .append(' ')
                .append(String.valueOf(error).replaceAll("\\s+", " "))
                .append('\n');
    }

    private static String base64(byte[] content) {
        return content.length == 0 ? "-" : Base64.getEncoder().encodeToString(content);
    }

    private void endWithSeconds(double value) {
        if (value == 0) {
            reply.append("0\n");
        } else {
            appendSeconds(value).append('\n');
        }
    }

    /**
     * Appends seconds with microsecond resolution, rounded up. This avoids the cost and the
     * exponents of a double's string conversion.
     */
    private StringBuilder appendSeconds(double seconds) {
        long total = (long) Math.ceil(seconds * 1e6 - 1e-3);
        if (total < 0) {
            reply.append('-');
            total = -total;
        }
        reply.append(total / 1_000_000);
        long rest = total % 1_000_000;
        if (rest != 0) {
            String digits = Long.toString(1_000_000 + rest);
            reply.append('.').append(digits, 1, 7);
        }
        return reply;
    }
}
