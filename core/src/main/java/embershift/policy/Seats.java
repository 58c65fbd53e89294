package embershift.policy;

import embershift.policy.Policy.Host;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.zip.CRC32;

/**
 * Hosts in seats by a number of their own, alike at all nodes that know the same hosts. A number
 * falls on a host or on an empty seat; a host that is enrolled or stops taking tunnels shifts only
 * what falls on it.
 */
final class Seats {

    private static final int LEAST = 1024;

    private Host[] seats = new Host[LEAST];

    /** The roll whose hosts are to be seated anew; null while they sit. */
    private List<Host> unseated;

    private int fillings;

    /**
     * Keeps the roll in one order at all nodes, so that the intervals of the draw lie alike. Hosts
     * are seated when they are next looked for: a list of thousands is enrolled in one round, and
     * would be seated as often as it has hosts.
     */
    Host enrol(Host host, List<Host> roll) {
        int at =
                Collections.binarySearch(
                        roll, host, Comparator.comparing((Host other) -> other.id.name()));
        roll.add(at < 0 ? -at - 1 : at, host);
        unseated = roll;
        return host;
    }

    /** How often all hosts were seated. */
    int fillings() {
        return fillings;
    }

    /** Seats all hosts anew where some were enrolled; at least half of the seats stay empty. */
    private void fill() {
        if (unseated == null) {
            return;
        }
        List<Host> roll = unseated;
        unseated = null;
        fillings++;
        seats = new Host[Math.max(LEAST, 4 * Integer.highestOneBit(roll.size()))];
        for (Host host : roll) {
            int seat = seat(scattered(numberOf(host.id.name())));
            while (seats[seat] != null) {
                seat = seat + 1 & seats.length - 1;
            }
            seats[seat] = host;
        }
    }

    /** The host on whose seat the number falls, or null. */
    Host under(long number) {
        fill();
        return seats[seat(number)];
    }

    int size() {
        fill();
        return seats.length;
    }

    private int seat(long number) {
        return (int) (number >>> 33) & seats.length - 1;
    }

    static long numberOf(String name) {
        CRC32 crc = new CRC32();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        return crc.getValue() << 16;
    }

    /** Spreads numbers that lie close together or differ in few bits, as CRC32 leaves them. */
    static long scattered(long number) {
        long mixed = (number + 1) * 0x9E3779B97F4A7C15L;
        mixed = (mixed ^ mixed >>> 32) * 0xD6E8FEB86659FD93L;
        return mixed ^ mixed >>> 32;
    }
}
