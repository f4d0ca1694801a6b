package org.cowslipstair.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the response to one request. Called on the event loop. */
public interface ResponseListener {
  /** The head of the response arrived. */
  void onHead(HttpResponse head);

  /** A part of the body arrived; the listener must copy or retain it to use it later. */
  void onBodyPart(ByteBuf part);

  /** The response is complete. Called at most once; no call follows. */
  void onComplete();

  /** The response cannot be completed. Called at most once; no call follows. */
  void onFailure(ServerBytesException cause);
}
