package org.cowslipstair.model.traffic;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;

/**
 * Identifies a request by its caller, method, host, target and body, so that it is recognized when
 * it comes again. Ids, deadlines and other headers differ between the returns of a request and do
 * not count. The hash is cryptographic: no caller can make up a request with the fingerprint of
 * another caller's request, and a fingerprint discloses no contents.
 *
 * @param hex hexadecimal digits
 */
public record RequestFingerprint(String hex) {
  /** Number of hexadecimal digits. */
  public static final int DIGITS = 32;

  /** Validates the digits. */
  public RequestFingerprint {
    if (hex.length() != DIGITS) {
      throw new IllegalArgumentException("fingerprint of " + hex.length() + " digits");
    }
  }

  /**
   * Computes the fingerprint of a request.
   *
   * @param caller network address of the caller, without the port
   * @param target path and query
   * @param body parts of the body in order; read without moving their positions
   */
  public static RequestFingerprint of(
      String caller, String method, String host, String target, List<ByteBuffer> body) {
    Hasher hasher = Hashing.sha256().newHasher();
    for (String part : List.of(caller, method, host.toLowerCase(Locale.ROOT), target)) {
      byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
      hasher.putInt(bytes.length).putBytes(bytes);
    }
    body.forEach(part -> hasher.putBytes(part.duplicate()));
    return new RequestFingerprint(hasher.hash().toString().substring(0, DIGITS));
  }
}
