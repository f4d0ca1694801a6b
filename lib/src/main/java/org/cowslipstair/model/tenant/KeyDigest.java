package org.cowslipstair.model.tenant;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 digest of an API key. A key is replaced by its digest where it enters the process, so
 * that no memory, frame, log line or dump holds a key that could be used.
 *
 * @param hex digest in lower-case hexadecimal digits
 */
public record KeyDigest(String hex) {
  private static final String ALGORITHM = "SHA-256";
  private static final int DIGITS = 64;

  /** Validates the digits. */
  public KeyDigest {
    boolean isDigest =
        hex.length() == DIGITS
            && hex.chars().allMatch(c -> c >= '0' && c <= '9' || c >= 'a' && c <= 'f');
    if (!isDigest) {
      throw new IllegalArgumentException("a key digest has " + DIGITS + " hexadecimal digits");
    }
  }

  /** Returns the digest of a key. */
  public static KeyDigest of(String key) {
    try {
      byte[] bytes =
          MessageDigest.getInstance(ALGORITHM).digest(key.getBytes(StandardCharsets.UTF_8));
      return new KeyDigest(HexFormat.of().formatHex(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
    }
  }

  /** Returns the digest shortened, since even a digest identifies a key across logs. */
  @Override
  public String toString() {
    return hex.substring(0, 8) + "...";
  }
}
