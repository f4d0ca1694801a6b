package org.cowslipstair.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the answer to one request. Called on the event loop. */
public interface AnswerListener {
  /** The head of the answer arrived. */
  void head(HttpResponse head);

  /** A part of the body arrived; the listener copies or retains what it keeps. */
  void body(ByteBuf part);

  /** The answer is whole. Called once, and nothing after it. */
  void end();

  /** The answer will never be whole. Called once, and nothing after it. */
  void failed(ServerBytesException cause);
}
