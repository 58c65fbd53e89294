package embershift.adapter;

import embershift.model.Deployment;
import embershift.protocol.DeploymentReader;
import embershift.protocol.MalformedDataException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The path=value pairs of a SPAWN line, which configure a new instance. */
final class SpawnSettings {

    private final LineFields fields;
    private final DeploymentReader reader;

    SpawnSettings(LineFields fields) {
        this.fields = fields;
        Map<String, String> pairs = new HashMap<>();
        while (!fields.atEnd()) {
            String pair = fields.optional("setup");
            int equals = pair == null ? -1 : pair.indexOf('=');
            if (equals < 1) {
                throw fields.malformed("setup", "path=value pairs");
            }
            pairs.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
        reader = new DeploymentReader(pairs);
    }

    Deployment deployment(long seed) {
        try {
            return reader.read(seed);
        } catch (MalformedDataException e) {
            String[] parts = e.getMessage().split(": expected ", 2);
            throw fields.malformed("setup " + parts[0], parts[1]);
        }
    }

    List<String> reportColumns() {
        return reader.reportColumns();
    }
}
