package embershift.fleet;

import java.util.TreeMap;

/** A client's session as the record holds it. */
final class Session {

    final SessionId id;
    final String client;
    final double seconds;

    /** Numbers below this one the client will not send again. */
    long open = 1;

    final TreeMap<Long, Result> results = new TreeMap<>();

    Session(SessionId id, String client, double seconds) {
        this.id = id;
        this.client = client;
        this.seconds = seconds;
    }
}
