package org.cowslipstair.edge.caller;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes requests. Keeps both framings of an ambiguous request, so that it can be rejected. */
final class CallerDecoder extends HttpRequestDecoder {
  private static final int CHUNK_BYTES = 64 * 1024;

  CallerDecoder(int maxHeadBytes) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(maxHeadBytes)
            .setMaxHeaderSize(maxHeadBytes)
            .setMaxChunkSize(CHUNK_BYTES));
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    // Removing the length here would hide that the request has two framings.
  }
}
