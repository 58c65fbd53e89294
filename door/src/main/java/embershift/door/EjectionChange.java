package embershift.door;

import embershift.fleet.lease.FencingToken;
import embershift.fleet.lease.TaskId;
import embershift.model.HostId;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Encodes for the audit log which hosts an order ejects, and which it returns to service. */
final class EjectionChange {

    private EjectionChange() {}

    static Map<String, String> entryFields(
            TaskId task, FencingToken token, Set<HostId> before, Set<HostId> after) {
        Map<String, String> fields = new TreeMap<>();
        fields.put("duty", task.name());
        fields.put("fence", String.valueOf(token.number()));
        for (HostId host : after) {
            if (!before.contains(host)) {
                fields.put("out." + host.name(), "1");
            }
        }
        for (HostId host : before) {
            if (!after.contains(host)) {
                fields.put("back." + host.name(), "1");
            }
        }
        return fields;
    }
}
