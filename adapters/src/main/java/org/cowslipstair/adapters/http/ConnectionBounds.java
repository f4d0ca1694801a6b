package org.cowslipstair.adapters.http;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.ToIntFunction;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.HostPort;

/**
 * Bounds the connections to each backend server. A connection is opened only when no idle one is
 * left, so as many connections exist as calls ran at once.
 */
final class ConnectionBounds {
  private final ToIntFunction<BackendServer> maxConnections;
  private final ConcurrentMap<HostPort, Bound> bounds = new ConcurrentHashMap<>();

  ConnectionBounds(ToIntFunction<BackendServer> maxConnections) {
    this.maxConnections = maxConnections;
  }

  /** Waits for a connection; returns false if there was none in time. */
  boolean acquire(BackendServer backend, long timeoutNs) throws InterruptedException {
    Bound bound = bounds.computeIfAbsent(backend.address(), _ -> new Bound());
    bound.resize(Math.max(1, maxConnections.applyAsInt(backend)));
    return bound.tryAcquire() || bound.tryAcquire(timeoutNs, TimeUnit.NANOSECONDS);
  }

  void release(BackendServer backend) {
    Bound bound = bounds.get(backend.address());
    if (bound != null) {
      bound.release();
    }
  }

  private static final class Bound extends Semaphore {
    private static final long serialVersionUID = 1L;
    private volatile int size;

    Bound() {
      super(0);
    }

    /** Follows a bound that changes with the number of gateways. */
    void resize(int wanted) {
      if (size == wanted) {
        return;
      }
      synchronized (this) {
        int change = wanted - size;
        size = wanted;
        if (change > 0) {
          release(change);
        } else {
          reducePermits(-change);
        }
      }
    }
  }
}
