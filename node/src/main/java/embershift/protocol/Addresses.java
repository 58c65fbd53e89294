package embershift.protocol;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * Socket addresses in the platform's format: an IPv4 address and a port. Host names are not
 * resolved.
 */
public final class Addresses {

    private Addresses() {}

    /** Formats the address as {@link #parse} accepts it. */
    public static String format(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    /** Parses an IPv4 address and a port, such as {@code 127.0.0.1:3000}. */
    public static InetSocketAddress parse(String text) throws MalformedDataException {
        int colon = text.lastIndexOf(':');
        String[] parts = colon < 0 ? new String[0] : text.substring(0, colon).split("\\.", -1);
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            byte[] bytes = new byte[4];
            boolean valid = parts.length == 4 && port >= 0 && port < 1 << 16;
            for (int i = 0; valid && i < 4; i++) {
                int value = Integer.parseInt(parts[i]);
                valid = value >= 0 && value < 256;
                bytes[i] = (byte) value;
            }
            if (valid) {
                return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
            }
        } catch (NumberFormatException | UnknownHostException e) {
            // Reported below.
        }
        throw new MalformedDataException(
                "'" + text + "' is not an address of the form 127.0.0.1:3000");
    }
}
