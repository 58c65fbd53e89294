package embershift.raft;

/**
 * What may pile up, in bytes but for {@code flight} (messages out to one member without an answer)
 * and {@code trail} (entries kept behind a snapshot for members that are a little late). {@code
 * command}: one command; {@code message}: entries in one message; {@code waiting}: what a leader
 * has taken and not agreed yet; {@code chunk}: a snapshot's piece; {@code snapshot}: a whole one.
 */
public record Bounds(
        int command, int message, int flight, int waiting, int chunk, int snapshot, int trail) {

    public static final Bounds USUAL =
            new Bounds(1 << 20, 64 << 10, 32, 8 << 20, 64 << 10, 64 << 20, 5000);
}
