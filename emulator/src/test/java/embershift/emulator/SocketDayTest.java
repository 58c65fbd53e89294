package embershift.emulator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import embershift.emulator.day.Day;
import embershift.emulator.experiment.Play;
import embershift.emulator.experiment.Result;
import embershift.emulator.sockets.SocketDay.Nodes;
import embershift.emulator.world.Trace;
import java.io.IOException;
import java.util.List;
import org.testng.annotations.Test;

/**
 * Short days on loopback: what is counted must be there, how fast this machine is must not matter.
 */
public class SocketDayTest {

    private static Day day(String... lines) {
        return Days.lasting(
                6,
                "[fleet]\nnodes = 2\nhosts = 4\n[traffic]\nload = 0.4\nper-core = 10.0\nlife = 8.0\n"
                        + String.join("\n", lines));
    }

    private static Result played(Day day, Nodes nodes) throws IOException {
        Play.SocketPlay play = Play.of(day, "embershift", 4).onSockets(nodes, Trace.NONE);
        assertEquals(play.troubles(), List.of());
        assertEquals(play.result().breaches().toString(), "[]");
        return play.result();
    }

    @Test
    public void aFailingDayIsPlayedOnSocketsAndNoRuleIsBroken() throws IOException {
        Result result =
                played(
                        day(
                                Days.trouble("crash", "hosts named h1", 1, 1.5),
                                Days.trouble("half-answer", "hosts named h2", 0, 3, "part = 0.7"),
                                Days.trouble(
                                        "cut", "nodes named n0", 3, 1, "peer = \"hosts named h3\""),
                                Days.trouble("drain", "hosts named h0", 2, 10)),
                        Nodes.HERE);
        assertTrue(result.counts().get("opened") > 20, result.counts().toString());
        assertTrue(result.counts().get("breaks") > 0, result.counts().toString());
    }

    @Test
    public void aNodeInAProcessOfItsOwnIsKilledAndAnotherToldToStop() throws IOException {
        Result result =
                played(
                        day(
                                Days.trouble("crash", "nodes named n0", 1, 0.2),
                                Days.trouble("drop", "clients share 0.5", 0.5, 0.5)),
                        Nodes.FORKED);
        assertTrue(result.counts().get("opened") > 20, result.counts().toString());
        assertTrue(result.counts().get("breaks") > 0, result.counts().toString());
    }
}
