package org.cowslipstair.adapters.http;

import java.io.Serial;

/** A request that a caller must not send; it reaches no backend server. */
final class BadRequestException extends Exception {
  @Serial private static final long serialVersionUID = 1L;
  private final Fault fault;

  BadRequestException(Fault fault) {
    super(fault.title(), null, false, false);
    this.fault = fault;
  }

  Fault fault() {
    return fault;
  }

  /** What is wrong with a request. */
  enum Fault {
    TARGET(400, "request target must be a path without dot segments"),
    HOST(400, "request needs one valid Host header"),
    HEADER(400, "header field is not valid UTF-8"),
    REQUEST_ID(400, "X-Request-Id must be 1 to 128 visible ASCII characters"),
    TIMEOUT(400, "Request-Timeout-Ms must be a whole number of milliseconds above 0"),
    BODY_NOT_ALLOWED(400, "this method takes no body"),
    BODY_BROKEN(400, "request body broke off or is malformed"),
    TRANSFER_CODING(400, "the only transfer coding is chunked"),
    METHOD(405, "method is not supported"),
    BODY_TIMEOUT(408, "request body arrived too slowly"),
    BODY_TOO_LARGE(413, "request body is too large"),
    EXPECTATION(417, "only the expectation 100-continue is supported"),
    HTTP_VERSION(505, "only HTTP/1.1 is supported");

    private final int status;
    private final String title;

    Fault(int status, String title) {
      this.status = status;
      this.title = title;
    }

    int status() {
      return status;
    }

    String title() {
      return title;
    }
  }
}
