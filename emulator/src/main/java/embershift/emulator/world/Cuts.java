package embershift.emulator.world;

import embershift.emulator.day.Trouble.Direction;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Which ways are cut now, each in one direction or both; cuts overlap freely. */
public final class Cuts {

    /** One cut: what those inside and those outside it can't send each other. */
    public record Cut(Predicate<Place> inside, Predicate<Place> outside, Direction direction) {
        boolean holds(Place from, Place to) {
            return (direction != Direction.IN && inside.test(from) && outside.test(to))
                    || (direction != Direction.OUT && inside.test(to) && outside.test(from));
        }
    }

    private final List<Cut> cuts = new ArrayList<>();

    public void begin(Cut cut) {
        cuts.add(cut);
    }

    public void end(Cut cut) {
        cuts.remove(cut);
    }

    /** Whether what leaves now arrives. */
    public boolean open(Place from, Place to) {
        for (Cut cut : cuts) {
            if (cut.holds(from, to)) {
                return false;
            }
        }
        return true;
    }

    public boolean openBothWays(Place one, Place other) {
        return cuts.isEmpty() || (open(one, other) && open(other, one));
    }
}
