package org.cowslipstair.adapters.http;

import java.io.IOException;
import java.net.ProtocolException;
import java.util.List;
import okhttp3.Response;

/**
 * Checks that the status of an answer is one, and that the end of its body can be recognised. A
 * body that ends with its connection cannot be told from one that was cut short.
 */
final class AnswerFraming {
  private static final int MIN_FINAL_STATUS = 200;
  private static final int MAX_STATUS = 599;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;
  private static final int MAX_LENGTH_DIGITS = 18;

  private AnswerFraming() {}

  /**
   * Returns the head of an answer, or throws if its status is none or its body has no recognisable
   * end. OkHttp skips all informational answers but 101, which nobody asks for.
   */
  static AnswerHead check(Response response) throws IOException {
    if (response.code() < MIN_FINAL_STATUS || response.code() > MAX_STATUS) {
      throw new ProtocolException("answer has status " + response.code());
    }
    List<String> lengths = response.headers("Content-Length");
    List<String> codings = response.headers("Transfer-Encoding");
    if (!lengths.isEmpty() && !codings.isEmpty()) {
      throw new ProtocolException("answer has both Content-Length and Transfer-Encoding");
    }
    if (!codings.isEmpty() && !isChunked(codings)) {
      throw new ProtocolException("answer has a transfer coding other than chunked");
    }
    if (!lengths.isEmpty() && !isLength(lengths)) {
      throw new ProtocolException("answer has an invalid Content-Length");
    }
    boolean bodiless = isBodiless(response);
    if (lengths.isEmpty() && codings.isEmpty() && !bodiless) {
      throw new ProtocolException("answer ends only with its connection");
    }
    return new AnswerHead(
        response.code(), HeaderRules.endToEnd(AnswerHead.fields(response.headers())), bodiless);
  }

  private static boolean isBodiless(Response response) {
    int status = response.code();
    return response.request().method().equals("HEAD")
        || status == NO_CONTENT
        || status == NOT_MODIFIED;
  }

  private static boolean isChunked(List<String> codings) {
    return codings.size() == 1 && codings.getFirst().equalsIgnoreCase("chunked");
  }

  private static boolean isLength(List<String> lengths) {
    String length = lengths.getFirst();
    return lengths.size() == 1
        && !length.isEmpty()
        && length.length() <= MAX_LENGTH_DIGITS
        && length.chars().allMatch(c -> c >= '0' && c <= '9');
  }
}
