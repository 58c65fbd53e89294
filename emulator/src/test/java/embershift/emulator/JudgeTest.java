package embershift.emulator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import embershift.emulator.judge.Breach;
import embershift.emulator.judge.Judge;
import embershift.emulator.world.Witness.Answer;
import java.util.List;
import org.testng.annotations.Test;

public class JudgeTest {

    private static Judge judge(String repeat, String scope) {
        return new Judge(
                Days.day(
                        "[[profile]]",
                        "name = \"p\"",
                        "repeat = \"" + repeat + "\"",
                        "scope = \"" + scope + "\""));
    }

    private static void broken(Judge judge, int rule, String part) {
        List<Breach> breaches = judge.breaches();
        assertEquals(breaches.size(), 1, breaches.toString());
        assertEquals(breaches.get(0).rule(), rule);
        assertTrue(breaches.get(0).toString().contains(part), breaches.get(0).toString());
    }

    @Test
    public void twoAnswersBreakTheFirstRule() {
        Judge judge = judge("repeatable", "all");
        judge.taken(1, "t", "n0", 0, 4.2);
        judge.answered(2, "t", Answer.DECLINED);
        assertTrue(judge.breaches().isEmpty());
        judge.answered(2.5, "t", Answer.OPENED);
        broken(judge, 1, "DECLINED by n0 at 2.0000 and OPENED");
    }

    @Test
    public void noAnswerBreaksTheFirstRuleUnlessTheNodeDied() {
        Judge judge = judge("repeatable", "all");
        judge.taken(1, "t", "n0", 0, 4.2);
        judge.taken(1, "u", "n0", 0, 4.2);
        judge.gaveUp(4.2, "u", true);
        assertTrue(judge.breaches().isEmpty());
        judge.gaveUp(4.2, "t", false);
        broken(judge, 1, "no final answer");
    }

    @Test
    public void onceOnlyMayNeitherRunTwiceNorBeDeclinedOnceItRan() {
        Judge twice = judge("once-only", "all");
        twice.taken(1, "t", "n0", 0, 4.2);
        twice.ran(1.1, "t", "h1", "a", 0);
        twice.ran(1.3, "t", "h2", "a", 0);
        broken(twice, 2, "run by h1 at 1.1000 and again by h2");
        Judge declined = judge("once-only", "all");
        declined.taken(1, "t", "n0", 0, 4.2);
        declined.ran(1.1, "t", "h1", "a", 0);
        declined.answered(2, "t", Answer.DECLINED);
        broken(declined, 2, "once only");
    }

    @Test
    public void referencedMayRunAgainOnlyWhereRepeatsAreDroppedAndInTheirWindow() {
        Judge cell = judge("referenced", "cell");
        cell.taken(1, "t", "n0", 0, 4.2);
        cell.ran(1.1, "t", "h1", "a", 0);
        cell.ran(1.3, "t", "h0", "a", 0);
        assertTrue(cell.breaches().isEmpty());
        cell.ran(1.5, "t", "h2", "a", 1);
        broken(cell, 2, "again by h2");
        Judge window = judge("referenced", "all");
        window.taken(1, "t", "n0", 0, 4.2);
        window.ran(1.1, "t", "h1", "a", 0);
        window.ran(3.3, "t", "h1", "a", 0);
        broken(window, 2, "again by h1");
    }

    @Test
    public void twoSetupsAtOnceBreakTheSecondRule() {
        Judge judge = judge("repeatable", "all");
        judge.taken(1, "t", "n0", 0, 4.2);
        judge.sent(1, "t", "n0", "h1");
        judge.closed(1.2, "t", "h1");
        judge.sent(1.2, "t", "n0", "h2");
        assertTrue(judge.breaches().isEmpty());
        judge.sent(1.3, "t", "n0", "h3");
        broken(judge, 2, "while one to h2 was out since 1.2000");
    }

    @Test
    public void aSetupPastTheGraceBreaksTheThirdRuleForThatProcessOnly() {
        Judge judge = judge("repeatable", "all");
        judge.taken(1, "t", "n0", 0, 9);
        judge.told(1, "n0", "h1", true);
        judge.sent(1.9, "t", "n0", "h1");
        judge.closed(1.95, "t", "h1");
        judge.sent(2.1, "t", "n1", "h1");
        judge.closed(2.15, "t", "h1");
        assertTrue(judge.breaches().isEmpty());
        judge.sent(2.2, "t", "n0", "h1");
        broken(judge, 3, "1.200 s after");
        judge.nodeChanged(3, "n0", true);
        judge.closed(3, "t", "h1");
        judge.sent(4, "t", "n0", "h1");
        assertEquals(judge.breaches().size(), 1);
    }
}
