package org.cowslipstair.model.traffic;

import java.util.List;
import java.util.Locale;

/**
 * Routes requests with a given host and path prefix to services.
 *
 * @param name name of the route, for logs and metrics
 * @param host value of the Host header without port, in lower case
 * @param pathPrefix prefix of the path, starting and ending with a slash
 * @param timeoutMs maximum time that a caller waits for a response, in milliseconds
 * @param targetLatencyMs latency up to which a response has its full value, in milliseconds
 * @param priority priority of the requests; 0 is the highest
 * @param maxAttempts maximum number of backend servers that one request is sent to
 * @param services one service, or several among which the requests are split by weight
 * @param anonymous whether requests need no key although the configuration has tenants
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RequestKind kind,
    long timeoutMs,
    long targetLatencyMs,
    int priority,
    int maxAttempts,
    List<WeightedService> services,
    boolean anonymous) {
  /** Copies the services and validates the values. */
  public Route {
    host = host.toLowerCase(Locale.ROOT);
    services = List.copyOf(services);
    if (services.isEmpty()) {
      throw new IllegalArgumentException("route \"%s\" has no service".formatted(name));
    }
    if (timeoutMs <= 0 || targetLatencyMs <= 0 || maxAttempts <= 0) {
      throw new IllegalArgumentException(
          "route \"%s\": timeout, target latency and maximum attempts must be positive"
              .formatted(name));
    }
  }

  /** Creates a route whose requests need a key if the configuration has tenants. */
  public Route(
      String name,
      String host,
      String pathPrefix,
      RequestKind kind,
      long timeoutMs,
      long targetLatencyMs,
      int priority,
      int maxAttempts,
      List<WeightedService> services) {
    this(
        name,
        host,
        pathPrefix,
        kind,
        timeoutMs,
        targetLatencyMs,
        priority,
        maxAttempts,
        services,
        false);
  }
}
