package embershift.protocol;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * Addresses as the platform writes them: four numbers and a port. There are no names to look up.
 */
public final class Addresses {

    private Addresses() {}

    /** The address in the form that {@link #parse} takes. */
    public static String format(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    public static InetSocketAddress parse(String text) throws MalformedDataException {
        int colon = text.lastIndexOf(':');
        String[] parts = colon < 0 ? new String[0] : text.substring(0, colon).split("\\.", -1);
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            byte[] bytes = new byte[4];
            boolean sound = parts.length == 4 && port >= 0 && port < 1 << 16;
            for (int i = 0; sound && i < 4; i++) {
                int value = Integer.parseInt(parts[i]);
                sound = value >= 0 && value < 256;
                bytes[i] = (byte) value;
            }
            if (sound) {
                return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
            }
        } catch (NumberFormatException | UnknownHostException e) {
            // Told below.
        }
        throw new MalformedDataException("'" + text + "' is no address of the form 127.0.0.1:3000");
    }
}
