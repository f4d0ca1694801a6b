package org.cowslipstair.edge.backend;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.cowslipstair.logic.placement.BackendStats;
import org.cowslipstair.model.traffic.RateLimit;
import org.cowslipstair.model.traffic.RateLimitObservation;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/** Reads the rate limit that a backend server advertises in its responses. */
public final class RateLimitHeader {
  private static final Logger LOG = Logger.getLogger(RateLimitHeader.class);

  private final String name;

  /**
   * Creates a reader.
   *
   * @param name name of the header field
   */
  public RateLimitHeader(String name) {
    this.name = name;
  }

  /**
   * Records the limit of a response to a request; a response without one withdraws the limit.
   *
   * @return whether the limit has changed
   */
  public boolean recordFromResponse(BackendEntry entry, HttpHeaders headers, long nowNs) {
    String value = headers.get(name);
    return value == null
        ? record(entry.stats(), Optional.empty(), nowNs)
        : recordIfPresent(entry, headers, nowNs);
  }

  /**
   * Records the limit of a response, if it has one that can be read.
   *
   * @return whether the limit has changed
   */
  public boolean recordIfPresent(BackendEntry entry, HttpHeaders headers, long nowNs) {
    Optional<RateLimit> limit = parse(headers.get(name));
    return limit.isPresent() && record(entry.stats(), limit, nowNs);
  }

  private static boolean record(BackendStats stats, Optional<RateLimit> limit, long nowNs) {
    boolean hasChanged = stats.recordRateLimit(new RateLimitObservation(limit, nowNs));
    if (hasChanged) {
      LOG.infof(
          "backend: %s %s",
          stats.instance().name().value(),
          limit
              .map(l -> "limits itself to " + l.requestsPerSecond() + " requests/s")
              .orElse("no longer limits its rate"));
    }
    return hasChanged;
  }

  /** Parses a header value; returns empty if it is missing or malformed. */
  private static Optional<RateLimit> parse(@Nullable String value) {
    if (value == null) {
      return Optional.empty();
    }
    try {
      return Optional.of(new RateLimit(Double.parseDouble(value.trim())));
    } catch (IllegalArgumentException ignored) {
      return Optional.empty();
    }
  }
}
