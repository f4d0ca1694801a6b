package org.cowslipstair.edge.caller;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/** Messages of a caller that wait until an earlier request has its response. */
final class MessageQueue {
  private static final int MAX_MESSAGES = 64;
  private static final int MAX_BODY_BYTES = 64 * 1024;

  private final Deque<Entry> entries = new ArrayDeque<>();
  private long bodyBytes;

  /**
   * A waiting message.
   *
   * @param arrivedNs monotonic time at which it arrived
   */
  record Entry(HttpObject message, long arrivedNs) {}

  void add(HttpObject message, long arrivedNs) {
    entries.add(new Entry(message, arrivedNs));
    bodyBytes += bodyBytes(message);
  }

  /** Returns the oldest message; null if there is none. */
  @Nullable Entry peek() {
    return entries.peek();
  }

  Entry remove() {
    Entry entry = entries.remove();
    bodyBytes -= bodyBytes(entry.message);
    return entry;
  }

  boolean isEmpty() {
    return entries.isEmpty();
  }

  /** Returns whether no more should be read from the connection. */
  boolean isFull() {
    return entries.size() >= MAX_MESSAGES || bodyBytes >= MAX_BODY_BYTES;
  }

  /** Releases all messages. */
  void clear() {
    entries.forEach(entry -> ReferenceCountUtil.release(entry.message));
    entries.clear();
    bodyBytes = 0;
  }

  private static int bodyBytes(HttpObject message) {
    return message instanceof HttpContent content ? content.content().readableBytes() : 0;
  }
}
