package embershift.rig.scale;

import embershift.fleet.store.KeyValueStore;
import embershift.fleet.store.Mutation;
import embershift.fleet.store.SessionId;
import embershift.fleet.store.StoreCommand;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * What the agreed record costs one instance by its keys, without disk and sockets: what each
 * instance does with each change.
 */
final class RecordCosts {

    private static final int CHANGES = 4000;
    private static final int VALUE = 60;
    private static final double MICRO = 1e3;
    private static final double MILLI = 1e6;
    private static final double MEGA = 1 << 20;

    private RecordCosts() {}

    private static StoreCommand.Transaction change(int key, int round) {
        return new StoreCommand.Transaction(
                SessionId.NONE,
                0,
                0,
                List.of(),
                List.of(
                        Mutation.put(
                                "state/n" + key,
                                ("CURRENT " + round + "x".repeat(VALUE)).substring(0, VALUE))));
    }

    /** A change, the whole as bytes (time and size), a read of all keys. */
    static double[] once(int keys) {
        KeyValueStore record = new KeyValueStore();
        long index = 0;
        for (int key = 0; key < keys; key++) {
            record.apply(++index, change(key, 0));
        }
        long from = Cpu.now();
        for (int i = 0; i < CHANGES; i++) {
            record.apply(++index, change((int) (i * 7919L % keys), i));
        }
        double each = Cpu.since(from) / CHANGES;
        from = Cpu.now();
        byte[] bytes = record.encode();
        double whole = Cpu.since(from);
        from = Cpu.now();
        int read = record.findByPrefix("state/").size();
        double all = Cpu.since(from);
        if (read != keys) {
            throw new IllegalStateException(
                    "of " + keys + " keys " + read + " are there: the record is full");
        }
        return new double[] {each / MICRO, whole / MILLI, bytes.length / MEGA, all / MILLI};
    }

    static List<Curve> measure(ScaleFile file, ResourceLimits limits, Consumer<String> progress)
            throws ResourceLimits.Exceeded {
        once(1000);
        Curve.Many points =
                new Curve.Many(
                        "record: a change",
                        "us",
                        "record: the whole as bytes, time",
                        "ms",
                        "record: the whole as bytes, size",
                        "MB",
                        "record: a read of all keys",
                        "ms");
        for (int keys : file.record().keys().stream().sorted().toList()) {
            List<double[]> repeats = new ArrayList<>();
            for (int i = 0; i < file.repeats(); i++) {
                limits.check();
                repeats.add(once(keys));
            }
            points.add(keys, repeats);
            progress.accept("record: " + keys + " keys done");
        }
        // A name and a state of each node; trails and revisions have limits of their own.
        return points.curves("keys", 2.0 * file.size().nodes());
    }
}
