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

/** What operators and other programs may hand in, right and wrong. */
public class InputValidationTest {

    private static final String LEAST = "name = \"i1\"\nfolder = \"f\"\nlisten = \"127.0.0.1:1\"\n";

    @Test
    public void installationThatCannotBeUsedIsRefusedInOneLineThatNamesTheKey() throws Exception {
        InstanceSettings least = InstanceSettings.read(LEAST, "x");
        assertEquals(least.advertisedAddress(), "127.0.0.1:1");
        String[][] wrong = {
            {"more = 1\n", "more"},
            {"[pace]\ntick-s = 0\n", "tick-s"},
            {"[pace]\nelection-s = 0.1\n", "pace"},
            {"address = \"nowhere\"\n", "address"},
            {"[ways]\ni2 = \"h:70000\"\n", "65535"},
            {"name = \"i2\"\n", "Duplicate"},
            {"[bounds]\nwaiting-bytes = 8192\n", "waiting-bytes"},
            {"listen", ""}
        };
        for (String[] each : wrong) {
            String message =
                    expectThrows(
                                    TomlSettings.InvalidSettingsException.class,
                                    () -> InstanceSettings.read(LEAST + each[0], "x"))
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
    public void piecesArriveInAnySplitAndAChangedOneEndsTheConnection() throws Exception {
        byte[] all = new byte[0];
        for (int i = 0; i < 3; i++) {
            ByteBuffer piece = FrameCodec.encode(FrameCodec.CALL, new byte[i * 300]);
            byte[] longer = Arrays.copyOf(all, all.length + piece.remaining());
            piece.get(longer, all.length, piece.remaining());
            all = longer;
        }
        for (int split = 1; split < 40; split++) {
            List<Integer> lengths = new ArrayList<>();
            FrameCodec frames = new FrameCodec();
            for (int at = 0; at < all.length; at += split) {
                frames.take(
                        ByteBuffer.wrap(all, at, Math.min(split, all.length - at)),
                        piece -> lengths.add(piece.length));
            }
            assertEquals(lengths, List.of(1, 301, 601));
        }
        for (int at = 0; at < all.length; at += 7) {
            byte[] changed = all.clone();
            changed[at] ^= 0x40;
            List<Integer> lengths = new ArrayList<>();
            boolean refused = false;
            try {
                new FrameCodec().take(ByteBuffer.wrap(changed), piece -> lengths.add(piece.length));
            } catch (FrameCodec.MalformedFrameException e) {
                refused = true;
            }
            // A greater length waits for more; nothing that was changed is ever handed on.
            assertTrue(refused || lengths.size() < 3, "at " + at);
        }
    }

    @Test
    public void greetingIsReadAsWrittenAndVersionsMeetWhereTheyOverlap() throws Exception {
        Handshake greeting = Handshake.of(7, new MemberId(1), "i1", new MemberId(2), "h:1");
        byte[] content = greeting.encode();
        byte[] piece = new byte[content.length + 1];
        System.arraycopy(content, 0, piece, 1, content.length);
        assertEquals(Handshake.decode(piece), greeting);
        for (int length = 1; length < piece.length; length++) {
            byte[] cut = Arrays.copyOf(piece, length);
            assertThrows(FrameCodec.MalformedFrameException.class, () -> Handshake.decode(cut));
        }
        assertEquals(Handshake.negotiatedVersion(1, 3), 1);
        assertEquals(Handshake.negotiatedVersion(2, 3), 0);
        assertFalse(
                TomlSettings.isAddress("h:99999")
                        || TomlSettings.isAddress("h")
                        || !TomlSettings.isAddress("h:80"));
    }
}
