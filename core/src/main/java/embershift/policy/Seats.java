package embershift.policy;

import embershift.policy.Policy.Host;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.zip.CRC32;

/**
 * Hosts in seats by a number of their own, alike at all nodes that know the same hosts. A number falls on
 * a host or on an empty seat; a host that is enrolled or stops taking tunnels shifts only what falls on it.
 */
final class Seats {

    private static final int LEAST = 1024;

    private Host[] seats = new Host[LEAST];

    /** Keeps the roll in one order at all nodes, so that the intervals of the draw lie alike. */
    Host enrol(Host host, List<Host> roll) {
        int at = 0;
        while (at < roll.size() && roll.get(at).id.name().compareTo(host.id.name()) < 0) {
            at++;
        }
        roll.add(at, host);
        fill(roll);
        return host;
    }

    /** Seats all hosts anew; at least half of the seats stay empty. */
    private void fill(List<Host> roll) {
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
        return seats[seat(number)];
    }

    int size() {
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
