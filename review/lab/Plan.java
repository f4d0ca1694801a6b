package review.lab;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;

/** Builds the operator's config. */
public final class Plan {
  public static final String HOST = "jepu9.example";

  private static final ObjectMapper JSON = new ObjectMapper();

  private final Map<String, ObjectNode> routes = new LinkedHashMap<>();
  private final Map<String, ObjectNode> services = new LinkedHashMap<>();

  /** Sets the route of a path prefix. */
  public Plan route(String prefix, String kind, String service, int timeoutMs, int targetLatencyMs) {
    ObjectNode route = JSON.createObjectNode();
    route
        .put("name", "r-" + prefix.replace("/", ""))
        .put(Wire.PREFIX, prefix)
        .put("kind", kind)
        .put("timeoutMs", timeoutMs)
        .put("targetLatencyMs", targetLatencyMs)
        .put("priority", 1)
        .put("service", service)
        .put("maxAttempts", 2);
    routes.put(prefix, route);
    services.computeIfAbsent(
        service,
        name ->
            JSON.createObjectNode()
                .put("name", name)
                .put("healthPath", "/healthz")
                .put("maxConns", 260)
                .put("protocol", "h1")
                .put("tls", false)
                .put("warmupS", 3.0)
                .put(Wire.COLD_RATE, 2.6));
    return this;
  }

  /** Returns the config as a version. */
  public ObjectNode version(long number) {
    ObjectNode spec = JSON.createObjectNode();
    spec.put("version", "r" + number);
    ArrayNode list = spec.putArray("services");
    services.values().forEach(list::add);
    spec.putObject("limits")
        .put("maxHeaderBytes", 16_384)
        .put("maxBodyBytes", 67_108_864)
        .put("headerTimeoutMs", 3_000)
        .put("idleTimeoutMs", 15_000);
    ArrayNode paths = spec.putArray(Wire.HOSTS).addObject().put("host", HOST).putArray("paths");
    routes.values().forEach(route -> paths.add(route.deepCopy()));
    return spec;
  }
}
