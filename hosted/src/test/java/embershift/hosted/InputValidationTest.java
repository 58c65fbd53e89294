package embershift.hosted;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import embershift.door.FrameCodec;
import embershift.door.TomlSettings;
import embershift.raft.MemberId;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.Test;

/** Valid and invalid input: settings of operators, frames and handshakes of other programs. */
public class InputValidationTest {

    private static final String MINIMAL_SETTINGS =
            "name = \"i1\"\nfolder = \"f\"\nlisten = \"127.0.0.1:1\"\n";

    @Test
    public void invalidSettingsAreRejectedInOneLineNamingTheKey() throws Exception {
        InstanceSettings settings = InstanceSettings.read(MINIMAL_SETTINGS, "x");
        assertEquals(settings.advertisedAddress(), "127.0.0.1:1");
        String[][] invalid = {
            {"more = 1\n", "more"},
            {"[pace]\ntick-s = 0\n", "tick-s"},
            {"[pace]\nelection-s = 0.1\n", "pace"},
            {"address = \"nowhere\"\n", "address"},
            {"[ways]\ni2 = \"h:70000\"\n", "65535"},
            {"name = \"i2\"\n", "Duplicate"},
            {"[bounds]\nwaiting-bytes = 8192\n", "waiting-bytes"},
            {"listen", ""}
        };
        for (String[] each : invalid) {
            String message =
                    expectThrows(
                                    TomlSettings.InvalidSettingsException.class,
                                    () -> InstanceSettings.read(MINIMAL_SETTINGS + each[0], "x"))
                            .getMessage();
            assertTrue(
                    message.startsWith("x:")
                            && message.contains(each[1])
                            && !message.contains("\n"),
                    message);
        }
        assertThrows(
                TomlSettings.InvalidSettingsException.class,
                () -> InstanceSettings.read("name = \"i1\"\n", "x"));
    }

    @Test
    public void framesAreReadInAnySplitAndCorruptionIsDetected() throws Exception {
        byte[] stream = new byte[0];
        for (int i = 0; i < 3; i++) {
            ByteBuffer frame = FrameCodec.encode(FrameCodec.CALL, new byte[i * 300]);
            byte[] longer = Arrays.copyOf(stream, stream.length + frame.remaining());
            frame.get(longer, stream.length, frame.remaining());
            stream = longer;
        }
        for (int split = 1; split < 40; split++) {
            List<Integer> lengths = new ArrayList<>();
            FrameCodec frames = new FrameCodec();
            for (int position = 0; position < stream.length; position += split) {
                frames.decode(
                        ByteBuffer.wrap(
                                stream, position, Math.min(split, stream.length - position)),
                        frame -> lengths.add(frame.length));
            }
            assertEquals(lengths, List.of(1, 301, 601));
        }
        for (int position = 0; position < stream.length; position += 7) {
            byte[] changed = stream.clone();
            changed[position] ^= 0x40;
            List<Integer> lengths = new ArrayList<>();
            boolean isRejected = false;
            try {
                new FrameCodec()
                        .decode(ByteBuffer.wrap(changed), frame -> lengths.add(frame.length));
            } catch (FrameCodec.MalformedFrameException e) {
                isRejected = true;
            }
            // A length that was increased waits for more data; no frame that was changed is ever
            // delivered.
            assertTrue(isRejected || lengths.size() < 3, "at " + position);
        }
    }

    @Test
    public void handshakeRoundTripsAndVersionsAreNegotiated() throws Exception {
        Handshake handshake = Handshake.of(7, new MemberId(1), "i1", new MemberId(2), "h:1");
        byte[] content = handshake.encode();
        byte[] frame = new byte[content.length + 1];
        System.arraycopy(content, 0, frame, 1, content.length);
        assertEquals(Handshake.decode(frame), handshake);
        for (int length = 1; length < frame.length; length++) {
            byte[] truncated = Arrays.copyOf(frame, length);
            assertThrows(
                    FrameCodec.MalformedFrameException.class, () -> Handshake.decode(truncated));
        }
        assertEquals(Handshake.negotiatedVersion(1, 3), 1);
        assertEquals(Handshake.negotiatedVersion(2, 3), 0);
        assertFalse(
                TomlSettings.isValidAddress("h:99999")
                        || TomlSettings.isValidAddress("h")
                        || !TomlSettings.isValidAddress("h:80"));
    }
}
