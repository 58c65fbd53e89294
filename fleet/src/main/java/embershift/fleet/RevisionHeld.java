package embershift.fleet;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** The revision that a node goes by: whole or not at all, and never an earlier one. */
public final class RevisionHeld {

    /**
     * {@code OLDER}: than the one held; {@code WHOLE}: the whole is wanted first; {@code REFUSED}:
     * can't be acted on here.
     */
    public enum End {
        TAKEN,
        SAME,
        OLDER,
        WHOLE,
        REFUSED
    }

    /** {@code why}: of a refusal. */
    public record Taken(End end, String why) {}

    /**
     * Has all of a revision acted on between two rounds, or none of it; the reason where it can't
     * be.
     */
    public interface Acting {
        String act(SortedMap<String, String> fields);
    }

    private Revision held = Revision.NONE;

    /**
     * The sum of what stood in the place of {@code held.before()}, for a revision that was told by
     * its chain alone.
     */
    private String chain = "";

    private long refused;
    private String why = "";

    /**
     * A revision told whole ({@code base} 0) or against the one of that number. {@code content},
     * {@code told}: the sums that the record has of it, without which nothing is believed.
     */
    public Taken take(
            long number,
            long base,
            String told,
            String content,
            Map<String, String> changes,
            Acting acting) {
        if (number == held.number()) {
            // A whole one heals a node whose doings are not what it holds.
            return base != 0 && told.equals(chain)
                    ? new Taken(End.SAME, "")
                    : took(number, base, told, content, changes, acting);
        }
        if (number < held.number()) {
            return new Taken(End.OLDER, "revision " + held.number() + " holds here");
        }
        return took(number, base, told, content, changes, acting);
    }

    private Taken took(
            long number,
            long base,
            String told,
            String content,
            Map<String, String> changes,
            Acting acting) {
        if (base != 0 && base != held.number()) {
            return new Taken(End.WHOLE, "revision " + held.number() + " holds here, not " + base);
        }
        SortedMap<String, String> fields =
                base == 0 ? new TreeMap<>() : new TreeMap<>(held.fields());
        Revision.apply(fields, changes);
        if (!Revision.content(fields).equals(content)) {
            return new Taken(End.WHOLE, "what was told does not make the revision that was meant");
        }
        String no = acting.act(fields);
        if (no != null) {
            refused = number;
            why = no;
            return new Taken(End.REFUSED, no);
        }
        held = new Revision(number, "", fields);
        chain = told;
        return new Taken(End.TAKEN, "");
    }

    public long number() {
        return held.number();
    }

    public String chain() {
        return chain;
    }

    public SortedMap<String, String> fields() {
        return held.fields();
    }

    /** The revision that was refused last, 0 for none. */
    public long refused() {
        return refused;
    }

    public String why() {
        return why;
    }
}
