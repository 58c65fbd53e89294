package embershift.operations;

import embershift.model.DeclineReason;
import embershift.model.HostId;
import embershift.model.ProfileId;
import embershift.protocol.HttpRequestParser;
import embershift.protocol.HttpResponse;
import embershift.protocol.Json;
import embershift.routing.Router;
import embershift.routing.Tally;
import embershift.routing.Tally.Outcome;
import java.util.List;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * The requests that operators may send and the answers to them; handles no sockets. Runs on the
 * router's thread.
 */
public final class OperatorApi {

    private static final String PATH_ROOT = "api";

    private final Router router;
    private final HostEjections ejections;
    private final BooleanSupplier isReady;

    /** {@code isReady} tells whether the node accepts clients now. */
    public OperatorApi(Router router, HostEjections ejections, BooleanSupplier isReady) {
        this.router = router;
        this.ejections = ejections;
        this.isReady = isReady;
    }

    /**
     * Answers a request, at once or, where it takes effect with the router's next round, after that
     * round.
     *
     * @param mayBeStale whether the request may have waited here so long that its caller has given
     *     up and has since had the opposite done at another process
     */
    public void handle(
            HttpRequestParser request, boolean mayBeStale, Consumer<HttpResponse> answer) {
        List<String> path = request.path();
        String name = path.size() > 1 && path.get(0).equals(PATH_ROOT) ? path.get(1) : "";
        boolean isQuery = path.size() == 2 && (name.equals("ready") || name.equals("telemetry"));
        boolean isEjection = path.size() == 3 && (name.equals("exclude") || name.equals("include"));
        String method = isEjection ? "POST" : "GET";
        if (!isQuery && !isEjection) {
            answer.accept(HttpResponse.error(404, "no such call"));
        } else if (!request.method().equals(method)) {
            answer.accept(HttpResponse.methodNotAllowed(method));
        } else if (isEjection && mayBeStale) {
            answer.accept(
                    HttpResponse.error(
                            503, "this process stood still, nothing was changed: call again"));
        } else if (isEjection) {
            setEjected(new HostId(path.get(2)), name.equals("exclude"), answer);
        } else {
            answer.accept(name.equals("ready") ? readiness() : telemetry());
        }
    }

    private HttpResponse readiness() {
        return isReady.getAsBoolean()
                ? HttpResponse.of(200, "{\"ready\":true}")
                : HttpResponse.error(503, "this node takes no clients now");
    }

    private void setEjected(HostId host, boolean eject, Consumer<HttpResponse> answer) {
        if (!router.knows(host)) {
            answer.accept(HttpResponse.error(404, "no host " + host.name() + " is known here"));
            return;
        }
        ejections.setEjected(
                host,
                eject,
                outcome ->
                        answer.accept(
                                outcome == HostEjections.Outcome.TOO_LATE
                                        ? HttpResponse.error(
                                                503,
                                                "this process stood still in the middle of it: look which hosts are out, call again")
                                        : HttpResponse.of(
                                                200,
                                                "{\"host\":"
                                                        + Json.quote(host.name())
                                                        + ",\"out\":"
                                                        + ejections.isEjected(host)
                                                        + ",\"kept\":"
                                                        + (outcome == HostEjections.Outcome.KEPT)
                                                        + "}")));
    }

    private HttpResponse telemetry() {
        Tally tally = router.tally();
        StringBuilder json = new StringBuilder("{\"operations\":{");
        String separator = "";
        for (ProfileId profile : tally.profiles()) {
            json.append(separator)
                    .append(Json.quote(profile.name()))
                    .append(":{\"fulfilled\":")
                    .append(tally.of(profile, Outcome.OPENED))
                    .append(",\"throttled\":")
                    .append(tally.of(profile, Outcome.DECLINED))
                    .append(",\"faulted\":")
                    .append(tally.of(profile, Outcome.CLOSED_WITH_ERROR))
                    .append('}');
            separator = ",";
        }
        json.append("},\"relayed\":")
                .append(tally.of(Tally.SETUPS_WRITTEN))
                .append(",\"open_requests\":")
                .append(router.openTunnels())
                .append(",\"registry_entries\":")
                .append(router.listedHosts())
                .append(",\"out_of_rotation\":")
                .append(router.avoidedHosts())
                .append(",\"declined\":{\"want_of_descriptors\":")
                .append(tally.of(Tally.DECLINED_FOR_DESCRIPTORS));
        for (DeclineReason reason : DeclineReason.values()) {
            json.append(',')
                    .append(Json.quote(reason.name().toLowerCase(Locale.ROOT)))
                    .append(':')
                    .append(tally.of(reason));
        }
        json.append("}}");
        return HttpResponse.of(200, json.toString());
    }
}
