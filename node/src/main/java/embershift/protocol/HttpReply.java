package embershift.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** One reply of an HTTP/1.1 server, read from bytes that come in any split. */
public final class HttpReply extends HttpMessage {

    private static final int LARGEST = 8 << 20;

    private final ByteArrayOutputStream body = new ByteArrayOutputStream(512);
    private int status;
    private boolean keptOpen = true;

    @Override
    boolean takeFirst(String line) throws Unreadable {
        String[] words = line.split(" ", 3);
        if (words.length < 2 || !words[0].startsWith("HTTP/1.")) {
            throw new Unreadable("not an HTTP/1.1 reply");
        }
        status = (int) whole(words[1], 10);
        keptOpen = !words[0].equals("HTTP/1.0");
        return true;
    }

    @Override
    void takeField(String name, String value) {
        if (name.equals("connection")) {
            keptOpen = !value.equalsIgnoreCase("close");
        }
    }

    @Override
    boolean headerEnds() {
        return status / 100 != 1;
    }

    @Override
    boolean bodyless() {
        return status == 204 || status == 304;
    }

    @Override
    boolean runsToEnd() {
        keptOpen = false;
        return true;
    }

    @Override
    void takeBody(ByteBuffer bytes) throws Unreadable {
        if (body.size() + bytes.remaining() > LARGEST) {
            throw new Unreadable("reply over " + LARGEST + " bytes");
        }
        byte[] taken = new byte[bytes.remaining()];
        bytes.get(taken);
        body.write(taken, 0, taken.length);
    }

    public int status() {
        return status;
    }

    public boolean keptOpen() {
        return keptOpen;
    }

    public String body() {
        return body.toString(StandardCharsets.UTF_8);
    }
}
