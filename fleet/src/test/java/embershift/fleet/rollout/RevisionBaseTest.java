package embershift.fleet.rollout;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Which revision a new one starts from, by the stage of the rollout. */
public class RevisionBaseTest {

    private static final boolean ORDINARY = false;
    private static final boolean IMMEDIATE = true;

    @DataProvider
    public Object[][] stages() {
        return new Object[][] {
            // Nothing made yet, nothing recorded yet, all done.
            {0, "", List.of(), ORDINARY, 0, ""},
            {1, "", List.of(), ORDINARY, 1, ""},
            {1, "", List.of(), IMMEDIATE, 0, "on revision 0; revision 1 is not part of it"},
            {2, "2 ALL 2 -", List.of(), IMMEDIATE, 2, ""},
            // Halted.
            {2, "2 HALTED 1 n1 refused it", List.of(), ORDINARY, 1, HALTED_ON_1},
            {2, "2 HALTED 1 n1 refused it", List.of(), IMMEDIATE, 1, HALTED_ON_1},
            // On canaries, or not seen by an owner: an ordinary one includes it.
            {2, "2 FIRST 1 n1", List.of(), ORDINARY, 2, ""},
            {2, "1 ALL 1 -", List.of(), ORDINARY, 2, ""},
            {2, "2 FIRST 1 n1", List.of(), IMMEDIATE, 1, LEFT_OUT_ON_1},
            {2, "1 ALL 1 -", List.of(), IMMEDIATE, 1, LEFT_OUT_ON_1},
            // Behind immediate revisions that no owner has seen, also with a halted one before.
            {2, "1 ALL 1 -", List.of(2L), IMMEDIATE, 2, ""},
            {3, "2 HALTED 1 n1 refused it", List.of(3L), IMMEDIATE, 3, ""},
            {3, "2 HALTED 1 n1 refused it", List.of(3L), ORDINARY, 3, ""},
            {
                3,
                "1 ALL 1 -",
                List.of(2L),
                IMMEDIATE,
                2,
                "on revision 2; revision 3 is not part of it"
            },
            // An immediate one, sent to all nodes and then refused by all.
            {2, "2 ALL 1 -", List.of(2L), IMMEDIATE, 2, ""},
            {2, "2 HALTED 1 - all nodes refused it", List.of(2L), IMMEDIATE, 1, HALTED_ON_1},
            // One made after the halted one is based on a good one already.
            {3, "2 HALTED 1 n1 refused it", List.of(), ORDINARY, 3, ""},
        };
    }

    private static final String HALTED_ON_1 = "on revision 1; revision 2 stays halted";
    private static final String LEFT_OUT_ON_1 = "on revision 1; revision 2 is not part of it";

    /** Guards against a revision that inherits what nodes have refused. */
    @Test(dataProvider = "stages")
    public void newRevisionStartsFromWhatWasFoundGood(
            long latest,
            String progress,
            List<Long> immediate,
            boolean isImmediate,
            long number,
            String note) {
        assertEquals(
                RevisionBase.choose(latest, Optional.of(progress), immediate, isImmediate),
                new RevisionBase(number, latest, note));
    }
}
