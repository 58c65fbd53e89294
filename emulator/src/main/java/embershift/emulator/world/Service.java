package embershift.emulator.world;

import embershift.emulator.day.Day;
import java.util.Arrays;

/**
 * Credit of the seconds that were well served over that of all seconds asked for, second by second,
 * apart for each profile and participant. What a participant asks beyond its share of a second's
 * credit is worth less.
 */
public final class Service {

    private static final int WORST = 10;

    private final Day day;
    private final int seconds;

    /** By profile, participant and second. */
    private final double[][][] asked;

    private final double[][][] served;

    public Service(Day day) {
        this.day = day;
        this.seconds = (int) Math.ceil(day.lasts());
        this.asked = new double[day.profile().size()][day.participant().size()][seconds];
        this.served = new double[day.profile().size()][day.participant().size()][seconds];
    }

    /** A client wants to be served from then to then. */
    public void asks(int profile, int participant, double from, double to) {
        spread(asked[profile][participant], from, to, day.profile().get(profile).credit());
    }

    /** So many of them were served from then to then. */
    public void serves(int profile, int participant, double from, double to, int many) {
        spread(served[profile][participant], from, to, many * day.profile().get(profile).credit());
    }

    private void spread(double[] row, double from, double to, double worth) {
        double end = Math.min(to, day.lasts());
        for (double at = Math.max(0, from); at < end; ) {
            int second = (int) at;
            double until = Math.min(end, second + 1);
            row[second] += worth * (until - at);
            at = until;
        }
    }

    private static double ratio(double served, double asked) {
        return asked <= 0 ? 1 : Math.min(1, served / asked);
    }

    /** Of each participant and second: the part of its credit that counts. */
    private double[][] weights() {
        double[][] weights = new double[day.participant().size()][seconds];
        for (int second = 0; second < seconds; second++) {
            double all = 0;
            double[] each = new double[weights.length];
            for (double[][] profile : asked) {
                for (int i = 0; i < each.length; i++) {
                    each[i] += profile[i][second];
                    all += profile[i][second];
                }
            }
            for (int i = 0; i < each.length; i++) {
                double mine = day.participant().get(i).share() * all;
                weights[i][second] =
                        each[i] <= mine
                                ? 1
                                : (mine + (each[i] - mine) * day.score().beyondShare()) / each[i];
            }
        }
        return weights;
    }

    private double[] sums(double[][][] of, double[][] weights, int profile, int participant) {
        double[] sums = new double[seconds];
        for (int p = 0; p < of.length; p++) {
            for (int q = 0; q < weights.length; q++) {
                if ((profile < 0 || p == profile) && (participant < 0 || q == participant)) {
                    for (int s = 0; s < seconds; s++) {
                        sums[s] += of[p][q][s] * weights[q][s];
                    }
                }
            }
        }
        return sums;
    }

    private double of(int profile, int participant) {
        double[][] weights = weights();
        return ratio(
                Arrays.stream(sums(served, weights, profile, participant)).sum(),
                Arrays.stream(sums(asked, weights, profile, participant)).sum());
    }

    /** The whole day's service. */
    public double whole() {
        return of(-1, -1);
    }

    public double worstProfile() {
        double worst = 1;
        for (int p = 0; p < asked.length; p++) {
            worst = Math.min(worst, of(p, -1));
        }
        return worst;
    }

    public double worstParticipant() {
        double worst = 1;
        for (int q = 0; q < day.participant().size(); q++) {
            worst = Math.min(worst, of(-1, q));
        }
        return worst;
    }

    /** The service of each second. */
    public double[] each() {
        double[][] weights = weights();
        double[] had = sums(served, weights, -1, -1);
        double[] wanted = sums(asked, weights, -1, -1);
        double[] each = new double[seconds];
        for (int s = 0; s < seconds; s++) {
            each[s] = ratio(had[s], wanted[s]);
        }
        return each;
    }

    /** The worst ten seconds in a row. */
    public double worstTen() {
        double[][] weights = weights();
        double[] had = sums(served, weights, -1, -1);
        double[] wanted = sums(asked, weights, -1, -1);
        double worst = 1;
        for (int from = 0; from + Math.min(WORST, seconds) <= seconds; from++) {
            int to = from + Math.min(WORST, seconds);
            worst =
                    Math.min(
                            worst,
                            ratio(
                                    Arrays.stream(had, from, to).sum(),
                                    Arrays.stream(wanted, from, to).sum()));
        }
        return worst;
    }
}
