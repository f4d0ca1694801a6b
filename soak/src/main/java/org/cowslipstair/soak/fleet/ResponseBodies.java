package org.cowslipstair.soak.fleet;

import java.nio.charset.StandardCharsets;
import java.util.Random;

/**
 * Response bodies derived from request ids, so that a caller can detect a response to another
 * request.
 */
public final class ResponseBodies {
  private static final int MAX_REPETITIONS = 400;

  private ResponseBodies() {}

  /** Returns the complete response body for a request id. */
  public static byte[] expectedBody(String id) {
    int repetitions = 1 + new Random(id.hashCode()).nextInt(MAX_REPETITIONS);
    return (id + ' ').repeat(repetitions).getBytes(StandardCharsets.US_ASCII);
  }
}
