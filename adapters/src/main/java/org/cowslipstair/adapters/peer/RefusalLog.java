package org.cowslipstair.adapters.peer;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.port.MonotonicClock;
import org.jboss.logging.Logger;

/** Logs the first refusal of each kind in a while, and counts the repeats. */
final class RefusalLog {
  private static final Logger LOG = Logger.getLogger(TcpPeerTransport.class);
  private static final long REPEAT_AFTER_NS = TimeUnit.MINUTES.toNanos(1);

  private final MonotonicClock clock;
  private final Map<ProtocolError, Entry> entries = new EnumMap<>(ProtocolError.class);

  RefusalLog(MonotonicClock clock) {
    this.clock = clock;
  }

  /** Count of one kind of refusal. */
  private static final class Entry {
    private long count;
    private long unlogged;
    private long nextLogNs;
  }

  synchronized void refused(String address, ProtocolException reason) {
    long nowNs = clock.nowNs();
    Entry entry = entries.get(reason.error());
    if (entry == null) {
      entry = new Entry();
      entry.nextLogNs = nowNs;
      entries.put(reason.error(), entry);
    }
    entry.count++;
    if (nowNs < entry.nextLogNs) {
      entry.unlogged++;
      return;
    }
    entry.nextLogNs = nowNs + REPEAT_AFTER_NS;
    LOG.warnf(
        "peer: refused %s: %s (%d like it before)", address, reason.getMessage(), entry.unlogged);
    entry.unlogged = 0;
  }

  synchronized Map<ProtocolError, Long> counts() {
    Map<ProtocolError, Long> counts = new EnumMap<>(ProtocolError.class);
    entries.forEach((error, entry) -> counts.put(error, entry.count));
    return counts;
  }
}
