package embershift.hosted;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import embershift.door.FrameCodec;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Lists that are together longer than a frame. */
public class PagedListTest {

    private static final int ITEMS = 10;
    private static final int ITEM_CHARS = 500_000;
    private static final double TIMEOUT_SECONDS = 20;

    private Path directory;
    private StoreClient client;

    @BeforeClass
    public void startInstance() throws Exception {
        directory = Files.createTempDirectory("instance");
        int port = TestInstance.start(directory, "").port();
        client =
                new StoreClient(
                        List.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), port)),
                        "test");
        assertTrue(client.call(StoreClient.newCall("found"), TIMEOUT_SECONDS).isDone());
    }

    @AfterClass
    public void closeClient() {
        client.close();
    }

    /** Guards against a lease holder or command that can't read a long list, and never begins. */
    @Test
    public void listLongerThanAFrameIsReadWhole() {
        List<String> written = new ArrayList<>();
        for (int i = 0; i < ITEMS; i++) {
            written.add("revision/" + (char) ('a' + i));
            StoreClient.Outcome put =
                    client.call(
                            StoreClient.newPut(written.get(i), "x".repeat(ITEM_CHARS), -1),
                            TIMEOUT_SECONDS);
            assertTrue(put.isDone(), put.reason() + put.text());
        }
        assertTrue(ITEMS * ITEM_CHARS > FrameCodec.MAX_CONTENT_BYTES);
        StoreClient.Outcome listed =
                client.call(
                        StoreClient.newCall("list").put("prefix", "revision/"), TIMEOUT_SECONDS);
        assertTrue(listed.isDone(), listed.reason() + listed.text());
        List<String> read = new ArrayList<>();
        for (JsonNode item : listed.answer().path("items")) {
            assertEquals(item.path("value").asText().length(), ITEM_CHARS);
            read.add(item.path("key").asText());
        }
        assertEquals(read, written);
    }
}
