package org.cowslipstair.soak.fleet;

import java.nio.charset.StandardCharsets;
import java.util.Random;

/** The answer that belongs to a request id, so that a caller can tell it from any other. */
public final class Bodies {
  private static final int MAX_WORDS = 400;

  private Bodies() {}

  /** Returns the whole answer to a request. */
  public static byte[] answer(String id) {
    int words = 1 + new Random(id.hashCode()).nextInt(MAX_WORDS);
    return (id + ' ').repeat(words).getBytes(StandardCharsets.US_ASCII);
  }
}
