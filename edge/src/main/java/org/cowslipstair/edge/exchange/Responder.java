package org.cowslipstair.edge.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** Writes the response of one exchange to its caller. Used on the event loop. */
public interface Responder {
  /** Writes a complete response; takes ownership of the body. */
  void writeResponse(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

  /**
   * Writes the head of a response whose body follows in parts.
   *
   * @param listener notified when the caller can or cannot accept more parts
   */
  void startStream(HttpResponseStatus status, HttpHeaders headers, WritabilityListener listener);

  /** Writes a part of the body; takes ownership of it. */
  void writePart(ByteBuf part);

  /** Completes the body. */
  void endStream();

  /** Closes the connection because the body cannot be completed. */
  void abort();

  /** Receives changes of whether more parts can be written. */
  interface WritabilityListener {
    /** Called when more parts can be written, or no more for now. */
    void onWritabilityChanged(boolean isWritable);
  }
}
