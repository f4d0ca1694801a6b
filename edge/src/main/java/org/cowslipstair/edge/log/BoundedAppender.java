package org.cowslipstair.edge.log;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;
import java.util.concurrent.atomic.LongAdder;

/**
 * Writes lines on a thread of its own, through a queue that never blocks: a line for which there is
 * no room is dropped and counted.
 */
public final class BoundedAppender extends AsyncAppender {
  private static final LongAdder DROPPED = new LongAdder();

  /** Creates an appender that keeps every line while there is room. */
  public BoundedAppender() {
    setNeverBlock(true);
    setDiscardingThreshold(0);
  }

  @Override
  protected void append(ILoggingEvent event) {
    if (getRemainingCapacity() == 0) {
      DROPPED.increment();
      return;
    }
    super.append(event);
  }

  /** Returns the lines dropped in this process. */
  public static long dropped() {
    return DROPPED.sum();
  }
}
