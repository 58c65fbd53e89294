package embershift.policy;

/**
 * A measure over time: the sum and the count of what was measured, in a ring of fixed time buckets.
 */
final class TimeBuckets {
    private final double[] sums;
    private final int[] counts;
    private final double bucketSeconds;
    private long newestBucket = Long.MIN_VALUE;

    TimeBuckets(int buckets, double bucketSeconds) {
        this.sums = new double[buckets];
        this.counts = new int[buckets];
        this.bucketSeconds = bucketSeconds;
    }

    private void advanceTo(double time) {
        long bucket = (long) Math.floor(time / bucketSeconds);
        if (newestBucket == Long.MIN_VALUE) {
            newestBucket = bucket;
        }
        for (long b = Math.max(newestBucket + 1, bucket - sums.length + 1); b <= bucket; b++) {
            sums[Math.floorMod(b, sums.length)] = 0;
            counts[Math.floorMod(b, sums.length)] = 0;
        }
        newestBucket = Math.max(newestBucket, bucket);
    }

    void add(double time, double value, int count) {
        advanceTo(time);
        sums[Math.floorMod(newestBucket, sums.length)] += value;
        counts[Math.floorMod(newestBucket, sums.length)] += count;
    }

    double sum(double time) {
        advanceTo(time);
        double sum = 0;
        for (double value : sums) {
            sum += value;
        }
        return sum;
    }

    int count(double time) {
        advanceTo(time);
        int count = 0;
        for (int number : counts) {
            count += number;
        }
        return count;
    }

    double rate(double time) {
        return count(time) / (bucketSeconds * counts.length);
    }
}
