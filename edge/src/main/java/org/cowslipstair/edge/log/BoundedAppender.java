package org.cowslipstair.edge.log;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;
import java.util.concurrent.atomic.LongAdder;

/**
 * Writes lines on a separate thread through a queue that never blocks: when the queue is full, a
 * line is dropped and counted.
 */
public final class BoundedAppender extends AsyncAppender {
  private static final LongAdder DROPPED_LINES = new LongAdder();

  /** Creates an appender that drops no line while the queue has room. */
  public BoundedAppender() {
    setNeverBlock(true);
    setDiscardingThreshold(0);
  }

  @Override
  protected void append(ILoggingEvent event) {
    if (getRemainingCapacity() == 0) {
      DROPPED_LINES.increment();
      return;
    }
    super.append(event);
  }

  /** Returns the number of lines dropped in this process. */
  public static long droppedLines() {
    return DROPPED_LINES.sum();
  }
}
