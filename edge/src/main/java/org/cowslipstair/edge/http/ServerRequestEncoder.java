package org.cowslipstair.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.nio.charset.StandardCharsets;

/**
 * Encodes requests with the bytes of the target that the caller sent. The decoder reads each byte
 * as one character, and the base class would write those above 0x7F as two bytes.
 */
final class ServerRequestEncoder extends HttpRequestEncoder {
  @Override
  protected void encodeInitialLine(ByteBuf buffer, HttpRequest request) {
    String line = request.method().name() + ' ' + request.uri() + " HTTP/1.1\r\n";
    buffer.writeCharSequence(line, StandardCharsets.ISO_8859_1);
  }
}
