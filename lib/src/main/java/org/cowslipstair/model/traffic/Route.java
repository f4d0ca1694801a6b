package org.cowslipstair.model.traffic;

import java.util.List;
import java.util.Locale;

/**
 * Sends requests of one host and path prefix to services.
 *
 * @param name name of the route, for logs and metrics
 * @param host value of the Host header without port, in lower case
 * @param pathPrefix prefix of the path, starting and ending with a slash
 * @param timeoutMs longest time that a request is kept waiting, in milliseconds
 * @param targetLatencyMs time within which an answer is of full use, in milliseconds
 * @param priority rank of the requests, 0 being the most urgent
 * @param maxAttempts most backend servers that one request is sent to
 * @param services one service, or the parts of a split
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
    List<WeightedService> services) {
  /** Copies the services and checks that requests can go somewhere. */
  public Route {
    host = host.toLowerCase(Locale.ROOT);
    services = List.copyOf(services);
    if (services.isEmpty()) {
      throw new IllegalArgumentException("route \"%s\" names no service".formatted(name));
    }
    if (timeoutMs <= 0 || targetLatencyMs <= 0 || maxAttempts <= 0) {
      throw new IllegalArgumentException(
          "route \"%s\" has a time or a number of attempts that is not positive".formatted(name));
    }
  }
}
