package org.cowslipstair.edge.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** Writes the answer of one exchange to its caller. */
public interface Responder {
  /** Writes a whole answer and takes over the body. */
  void answer(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

  /**
   * Writes the head of an answer whose body follows in parts.
   *
   * @param onWritable told whether the caller takes more parts now
   */
  void begin(HttpResponseStatus status, HttpHeaders headers, Flow onWritable);

  /** Writes a part of the body and takes it over. */
  void part(ByteBuf part);

  /** Ends the body. */
  void end();

  /** Ends the connection, as the body cannot be completed. */
  void abort();

  /** Learns whether more parts can be written. */
  interface Flow {
    /** More parts can be written, or no more for now. */
    void writable(boolean isWritable);
  }
}
