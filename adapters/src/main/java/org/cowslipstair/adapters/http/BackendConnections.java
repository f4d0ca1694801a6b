package org.cowslipstair.adapters.http;

import java.io.Serial;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.OkHttpClient;

/**
 * The connections to one backend server. A connection is opened only when no idle one is left, so
 * that at most as many exist as calls ran at once, which is bounded.
 *
 * <p>Each backend server has a pool of its own, because OkHttp walks through a whole pool to find a
 * connection.
 */
final class BackendConnections {
  private final OkHttpClient client;
  private final Bound bound = new Bound();

  BackendConnections(OkHttpClient parent, BackendLimits limits) {
    ConnectionPool pool =
        new ConnectionPool(
            limits.maxIdleConnections(), limits.idleConnectionMs(), TimeUnit.MILLISECONDS);
    this.client = parent.newBuilder().connectionPool(pool).build();
  }

  OkHttpClient client() {
    return client;
  }

  ConnectionPool pool() {
    return client.connectionPool();
  }

  /** Waits for the right to use a connection; returns false if it did not come in time. */
  boolean acquire(int maxConnections, long timeoutNs) throws InterruptedException {
    bound.resize(Math.max(1, maxConnections));
    return bound.tryAcquire() || bound.tryAcquire(timeoutNs, TimeUnit.NANOSECONDS);
  }

  /** Returns whether no call uses a connection and none is open. */
  boolean isUnused() {
    return bound.isWhole() && pool().connectionCount() == 0;
  }

  void release() {
    bound.release();
  }

  private static final class Bound extends Semaphore {
    @Serial private static final long serialVersionUID = 1L;
    private volatile int size;

    Bound() {
      super(0);
    }

    boolean isWhole() {
      return availablePermits() == size;
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
