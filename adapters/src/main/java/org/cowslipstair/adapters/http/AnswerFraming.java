package org.cowslipstair.adapters.http;

import java.io.IOException;
import java.net.ProtocolException;
import java.util.List;
import okhttp3.Response;

/**
 * Checks that the end of an answer's body can be recognised. A body that ends with its connection
 * cannot be told from one that was cut short.
 */
final class AnswerFraming {
  private static final int SWITCHING_PROTOCOLS = 101;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private AnswerFraming() {}

  /** Returns whether an answer has no body, whatever its header fields say. */
  static boolean isBodiless(Response response) {
    int status = response.code();
    return response.request().method().equals("HEAD")
        || status == NO_CONTENT
        || status == NOT_MODIFIED;
  }

  /** Refuses an answer whose body has no recognisable end. */
  static void check(Response response) throws IOException {
    if (response.code() == SWITCHING_PROTOCOLS) {
      throw malformed(response, "answer switches protocols");
    }
    List<String> lengths = response.headers("Content-Length");
    List<String> codings = response.headers("Transfer-Encoding");
    if (!lengths.isEmpty() && !codings.isEmpty()) {
      throw malformed(response, "answer has both Content-Length and Transfer-Encoding");
    }
    if (codings.size() > 1 || codings.size() == 1 && !codings.get(0).equalsIgnoreCase("chunked")) {
      throw malformed(response, "answer has a transfer coding other than chunked");
    }
    if (lengths.size() > 1 || lengths.size() == 1 && !isLength(lengths.get(0))) {
      throw malformed(response, "answer has an invalid Content-Length");
    }
    if (lengths.isEmpty() && codings.isEmpty() && !isBodiless(response)) {
      throw malformed(response, "answer ends only with its connection");
    }
  }

  private static boolean isLength(String text) {
    return text.matches("[0-9]{1,18}");
  }

  private static IOException malformed(Response response, String message) {
    response.close();
    return new ProtocolException(message);
  }
}
