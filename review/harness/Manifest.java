import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Manifests of a small deployment with one host. */
final class Manifest {

    private Manifest() {
    }

    static String route(String name, String kind, String service, int timeoutMs, int targetMs, int attempts, String more) {
        return "{\"name\":\"" + name + "\",\"host\":\"h.example\",\"path_prefix\":\"/" + name + "/\",\"route_kind\":\"" + kind
                + "\",\"timeout_ms\":" + timeoutMs + ",\"target_latency_ms\":" + targetMs + ",\"priority\":0,\"service\":\""
                + service + "\",\"max_attempts\":" + attempts + ",\"allow_anonymous\":false" + more + "}";
    }

    /** Limits as in the wire examples of the sites: bodies of up to 4 MiB. */
    static String of(long version, List<String> routes, List<String> services, Map<String, List<String>> keysByTenant) {
        String serviceRows = services.stream()
                .map((name) -> "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_connections\":100}")
                .collect(Collectors.joining(","));
        String tenants = keysByTenant.entrySet().stream()
                .map((tenant) -> "{\"name\":\"" + tenant.getKey() + "\",\"api_keys\":[" + tenant.getValue().stream()
                        .map((key) -> "\"" + key + "\"").collect(Collectors.joining(",")) + "],\"priority\":1}")
                .collect(Collectors.joining(","));
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":[" + serviceRows
                + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[" + tenants + "]}";
    }
}
