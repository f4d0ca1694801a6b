package org.cowslipstair.model.config;

import java.util.Optional;

/** Address of a TCP endpoint. */
public record HostPort(String host, int port) {
  private static final int MAX_PORT = 65_535;

  /** Validates the port. */
  public HostPort {
    if (port < 0 || port > MAX_PORT) {
      throw new IllegalArgumentException("port %d is not between 0 and 65535".formatted(port));
    }
  }

  /** Parses {@code host:port}; empty if the text is invalid. */
  public static Optional<HostPort> parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new HostPort(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1))));
    } catch (IllegalArgumentException ignored) {
      return Optional.empty();
    }
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
