package embershift.policy;

/**
 * A measure over time: in a ring of fixed time buckets, sums of what was measured, and how often it
 * was.
 */
final class Ring {
    private final double[] values;
    private final int[] numbers;
    private final double length;
    private long newest = Long.MIN_VALUE;

    Ring(int buckets, double length) {
        this.values = new double[buckets];
        this.numbers = new int[buckets];
        this.length = length;
    }

    private void turnTo(double time) {
        long bucket = (long) Math.floor(time / length);
        if (newest == Long.MIN_VALUE) {
            newest = bucket;
        }
        for (long b = Math.max(newest + 1, bucket - values.length + 1); b <= bucket; b++) {
            values[Math.floorMod(b, values.length)] = 0;
            numbers[Math.floorMod(b, values.length)] = 0;
        }
        newest = Math.max(newest, bucket);
    }

    void add(double time, double value, int number) {
        turnTo(time);
        values[Math.floorMod(newest, values.length)] += value;
        numbers[Math.floorMod(newest, values.length)] += number;
    }

    double sum(double time) {
        turnTo(time);
        double sum = 0;
        for (double value : values) {
            sum += value;
        }
        return sum;
    }

    int count(double time) {
        turnTo(time);
        int count = 0;
        for (int number : numbers) {
            count += number;
        }
        return count;
    }

    double rate(double time) {
        return count(time) / (length * numbers.length);
    }
}
