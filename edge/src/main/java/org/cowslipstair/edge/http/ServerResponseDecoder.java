package org.cowslipstair.edge.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the responses of a server, which have no body if the request was made by HEAD. A status
 * line that is none of HTTP/1 makes the response malformed.
 */
final class ServerResponseDecoder extends HttpResponseDecoder {
  private static final int MAX_LINE_BYTES = 8 * 1024;
  private static final int MAX_HEAD_BYTES = 64 * 1024;
  private static final int CHUNK_BYTES = 64 * 1024;

  private static final String VERSION_PREFIX = "HTTP/1.";
  private static final int STATUS_DIGITS = 3;
  private static final String SWITCHING_PROTOCOLS = "101";

  private boolean headRequest;

  ServerResponseDecoder() {
    super(MAX_LINE_BYTES, MAX_HEAD_BYTES, CHUNK_BYTES);
  }

  /** Sets the method of the request whose response comes next. */
  void setMethod(HttpMethod method) {
    headRequest = HttpMethod.HEAD.equals(method);
  }

  /** Netty parses the status as a number, which also takes a sign and leading zeros. */
  @Override
  protected HttpMessage createMessage(String[] statusLine) {
    if (!isVersion(statusLine[0]) || !isStatus(statusLine[1])) {
      throw new IllegalArgumentException("no status line of HTTP/1");
    }
    return super.createMessage(statusLine);
  }

  private static boolean isVersion(String text) {
    return text.length() == VERSION_PREFIX.length() + 1
        && text.startsWith(VERSION_PREFIX)
        && isDigit(text.charAt(VERSION_PREFIX.length()));
  }

  /** No request asks to switch protocols, so 101 is no response to any. */
  private static boolean isStatus(String text) {
    return text.length() == STATUS_DIGITS
        && text.charAt(0) >= '1'
        && text.charAt(0) <= '5'
        && isDigit(text.charAt(1))
        && isDigit(text.charAt(2))
        && !text.equals(SWITCHING_PROTOCOLS);
  }

  private static boolean isDigit(char character) {
    return character >= '0' && character <= '9';
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage response) {
    return headRequest || super.isContentAlwaysEmpty(response);
  }
}
