package org.cowslipstair.model.traffic;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Identifies a request by its caller, method, host, target and body, so that it is recognized when
 * it comes again. Ids, deadlines, network addresses and other headers differ between the returns of
 * a request and do not count. The hash is cryptographic: no caller can make up a request with the
 * fingerprint of a request that bears other credentials, and a fingerprint discloses no contents.
 *
 * @param hex hexadecimal digits; the first ones do not depend on the body
 */
public record RequestFingerprint(String hex) {
  /** Number of hexadecimal digits. */
  public static final int DIGITS = 40;

  private static final int HEAD_DIGITS = 16;

  /** Validates the digits. */
  public RequestFingerprint {
    if (hex.length() != DIGITS) {
      throw new IllegalArgumentException("fingerprint of " + hex.length() + " digits");
    }
  }

  /** Parses the digits; empty if they are none of a fingerprint. */
  public static Optional<RequestFingerprint> parse(String text) {
    boolean isValid = text.length() == DIGITS && text.chars().allMatch(HexFormat::isHexDigit);
    return isValid
        ? Optional.of(new RequestFingerprint(text.toLowerCase(Locale.ROOT)))
        : Optional.empty();
  }

  /** Returns the digits that do not depend on the body. */
  public String headDigits() {
    return hex.substring(0, HEAD_DIGITS);
  }

  /**
   * The parts of a request without its body.
   *
   * @param credentials credentials of the caller; empty if there are none
   * @param target path and query
   */
  public record Head(String credentials, String method, String host, String target) {
    /** Returns the digits of a fingerprint that do not depend on the body. */
    public String digits() {
      return hasher().hash().toString().substring(0, HEAD_DIGITS);
    }

    /**
     * Returns the fingerprint of the request with a body.
     *
     * @param body parts of the body in order; read without moving their positions
     */
    public RequestFingerprint with(List<ByteBuffer> body) {
      Hasher hasher = hasher();
      body.forEach(part -> hasher.putBytes(part.duplicate()));
      String digits = hasher.hash().toString();
      return new RequestFingerprint(digits() + digits.substring(0, DIGITS - HEAD_DIGITS));
    }

    private Hasher hasher() {
      Hasher hasher = Hashing.sha256().newHasher();
      for (String part : List.of(credentials, method, host.toLowerCase(Locale.ROOT), target)) {
        byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
        hasher.putInt(bytes.length).putBytes(bytes);
      }
      return hasher;
    }
  }
}
