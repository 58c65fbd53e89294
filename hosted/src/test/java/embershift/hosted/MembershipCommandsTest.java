package embershift.hosted;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.door.FrameCodec;
import embershift.door.JsonMessages;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Commands on the group's members whose first answer is lost. */
public class MembershipCommandsTest {

    private static final int DONE = 0;
    private static final int REFUSED = 1;
    private static final int UNKNOWN = 3;

    private ServerSocket server;
    private volatile boolean losesFirstAnswer;
    private volatile boolean isCommitted;
    private volatile List<String> members;

    @BeforeMethod
    public void startInstance() throws IOException {
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::serve);
        thread.setDaemon(true);
        thread.start();
    }

    @AfterMethod
    public void stopInstance() throws IOException {
        server.close();
    }

    private void serve() {
        while (true) {
            try (Socket socket = server.accept()) {
                serve(socket);
            } catch (IOException | FrameCodec.MalformedFrameException e) {
                if (server.isClosed()) {
                    return;
                }
            }
        }
    }

    /** Answers calls; drops the first one that is to change something, with its connection. */
    private void serve(Socket socket) throws IOException, FrameCodec.MalformedFrameException {
        FrameCodec codec = new FrameCodec();
        InputStream in = socket.getInputStream();
        byte[] buffer = new byte[4096];
        for (int count = in.read(buffer); count > 0; count = in.read(buffer)) {
            List<byte[]> frames = new ArrayList<>();
            codec.decode(ByteBuffer.wrap(buffer, 0, count), frames::add);
            for (byte[] frame : frames) {
                ObjectNode call = JsonMessages.decodeFrame(frame);
                boolean isStatus = call.path("call").asText().equals("status");
                if (!isStatus && losesFirstAnswer) {
                    losesFirstAnswer = false;
                    return;
                }
                ObjectNode answer = isStatus ? status() : refusal();
                socket.getOutputStream()
                        .write(
                                FrameCodec.encodeToArray(
                                        FrameCodec.ANSWER,
                                        JsonMessages.encode(
                                                answer.put("id", call.path("id").asLong()))));
            }
        }
    }

    private static ObjectNode refusal() {
        return JsonMessages.newObject()
                .put("end", "refused")
                .put("reason", "membership")
                .put("text", "there is no i3");
    }

    private ObjectNode status() {
        ObjectNode status =
                JsonMessages.newObject()
                        .put("end", "done")
                        .put("name", "i1")
                        .put("role", "leader")
                        .put("term", 3)
                        .put("last", 9)
                        .put("agreed", isCommitted ? 9 : 8);
        ArrayNode array = status.putArray("members");
        members.forEach(name -> array.addObject().put("name", name).put("address", name + ":1"));
        return status;
    }

    @DataProvider
    public Object[][] cases() {
        return new Object[][] {
            {"remove", "i3", true, true, List.of("i1", "i2"), DONE},
            {"remove", "i3", true, true, List.of("i1", "i2", "i3"), UNKNOWN},
            {"remove", "i3", true, false, List.of("i1", "i2"), UNKNOWN},
            {"remove", "i3", false, true, List.of("i1", "i2"), REFUSED},
            {"add", "i3:1", true, true, List.of("i1", "i2", "i3"), DONE},
            {"add", "i3:1", true, true, List.of("i1", "i2"), UNKNOWN},
            {"found", "", true, true, List.of("i1"), DONE},
            {"transfer", "i1", true, true, List.of("i1", "i2"), DONE},
            {"transfer", "i2", true, true, List.of("i1", "i2"), UNKNOWN},
        };
    }

    /** Guards against a command that ends as refused although its lost first attempt was done. */
    @Test(dataProvider = "cases")
    public void refusalAfterALostAnswerIsDecidedByTheCommittedMembers(
            String command,
            String argument,
            boolean losesAnswer,
            boolean areMembersCommitted,
            List<String> membersNow,
            int status) {
        losesFirstAnswer = losesAnswer;
        isCommitted = areMembersCommitted;
        members = membersNow;
        List<String> arguments = new ArrayList<>(List.of(command));
        if (!argument.isEmpty()) {
            arguments.add(argument);
        }
        arguments.addAll(List.of("--at", "127.0.0.1:" + server.getLocalPort()));
        assertEquals(new FleetCommands().run(arguments.toArray(new String[0])), status);
    }
}
