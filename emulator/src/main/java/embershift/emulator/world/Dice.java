package embershift.emulator.world;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Chance for one purpose. Each purpose has a stream of its own, so that a day with one more
 * trouble, or other decisions, still has the same clients coming at the same times.
 */
public final class Dice {

    private final UniformRandomProvider source;
    private final ZigguratSampler.NormalizedGaussian normal;
    private final ZigguratSampler.Exponential exponential;

    public Dice(long seed, String purpose) {
        java.util.zip.CRC32 crc = new java.util.zip.CRC32();
        crc.update(purpose.getBytes(java.nio.charset.StandardCharsets.UTF_8));
        source =
                RandomSource.XO_SHI_RO_256_PP.create(
                        new long[] {seed, crc.getValue(), ~seed, 0x9E3779B97F4A7C15L});
        normal = ZigguratSampler.NormalizedGaussian.of(source);
        exponential = ZigguratSampler.Exponential.of(source);
    }

    public double part() {
        return source.nextDouble();
    }

    public long number() {
        return source.nextLong();
    }

    public int below(int bound) {
        return source.nextInt(bound);
    }

    public double within(double[] range) {
        return range[0] + (range[1] - range[0]) * source.nextDouble();
    }

    public double exponential(double mean) {
        return mean * exponential.sample();
    }

    /** Log-normal with mean 1. */
    public double spread(double sigma) {
        return sigma == 0 ? 1 : Math.exp(sigma * normal.sample() - sigma * sigma / 2);
    }
}
