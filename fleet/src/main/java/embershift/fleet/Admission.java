package embershift.fleet;

/**
 * Whether a node lets an order in, before it looks at what is ordered: by the fence of its duty and
 * by its age. The age is told by this node's clock alone: each order brings back what that clock
 * showed in the latest word that had reached the owner, so an order that lay on the way, in a
 * queue, or in a process that stood still is known for what it is. Times in seconds.
 */
public final class Admission {

    /**
     * {@code VOID}: too old; {@code OUT}: this node is shut out and takes no orders. Others: see
     * {@link Gate.Verdict}.
     */
    public enum Verdict {
        TAKEN,
        OLD,
        UNSURE,
        VOID,
        OUT
    }

    /** {@code known}: the highest fence known of the duty, null before the record was heard. */
    public record Word(Verdict verdict, Fence known, String why) {}

    private final Gate gate;
    private final double longest;
    private String out;

    /** {@code longest}: seconds after which an order is void. */
    public Admission(Gate gate, double longest) {
        this.gate = gate;
        this.longest = longest;
    }

    /** From now on nothing is taken here. */
    public void shutOut(String why) {
        out = why;
    }

    public String outWhy() {
        return out;
    }

    /** {@code seen}: this node's clock as the owner knew it when it gave the order. */
    public Word take(double now, DutyId duty, Fence fence, double seen) {
        if (out != null) {
            return new Word(Verdict.OUT, gate.highest(duty), out);
        }
        double age = now - seen;
        // A time ahead of this clock is none that it ever showed.
        if (!(age >= 0 && age <= longest)) {
            return new Word(
                    Verdict.VOID,
                    gate.highest(duty),
                    "given on a word of " + (long) (1000 * age) + " ms ago");
        }
        Gate.Verdict verdict = gate.take(duty, fence);
        return switch (verdict) {
            case TAKEN -> new Word(Verdict.TAKEN, fence, "");
            case OLD ->
                    new Word(
                            Verdict.OLD,
                            gate.highest(duty),
                            "fence " + gate.highest(duty).number() + " is known here");
            case UNSURE -> new Word(Verdict.UNSURE, null, "the record has not been heard");
        };
    }
}
