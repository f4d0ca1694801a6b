package org.cowslipstair.adapters.http;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.cowslipstair.port.MonotonicClock;
import org.eclipse.jetty.io.AbstractEndPoint;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.Callback;

/**
 * Interrupts calls whose caller closed its connection while it waited for the answer, so that they
 * hold no slot for nobody. Most calls end before they are looked at, and cost nothing.
 */
final class HangUpWatch {
  private static final long WATCH_AFTER_NS = 50_000_000;
  private static final long SWEEP_INTERVAL_MS = 25;
  private final MonotonicClock clock;
  private final Set<Call> calls = ConcurrentHashMap.newKeySet();
  private final Thread sweeper;

  HangUpWatch(MonotonicClock clock) {
    this.clock = clock;
    this.sweeper = Thread.ofVirtual().name("caller-hang-up-watch").unstarted(this::sweep);
  }

  void start() {
    sweeper.start();
  }

  void stop() {
    sweeper.interrupt();
  }

  /**
   * Begins to watch the connection of the current thread's call, whose request was read whole.
   * Nothing else may wait for bytes of that connection until {@link Call#end}.
   */
  Call begin(EndPoint connection) {
    Call call = new Call(connection, Thread.currentThread(), clock.nowNs() + WATCH_AFTER_NS);
    calls.add(call);
    return call;
  }

  private void sweep() {
    try {
      while (true) {
        Thread.sleep(SWEEP_INTERVAL_MS);
        long nowNs = clock.nowNs();
        for (Call call : calls) {
          if (nowNs - call.watchAtNs >= 0) {
            call.watch();
          }
        }
      }
    } catch (InterruptedException _) {
      // The server was stopped.
    }
  }

  /** One call in progress. */
  final class Call implements Callback {
    private final EndPoint connection;
    private final Thread thread;
    private final long watchAtNs;
    private boolean watched;
    private boolean ended;
    private boolean interrupted;

    private Call(EndPoint connection, Thread thread, long watchAtNs) {
      this.connection = connection;
      this.thread = thread;
      this.watchAtNs = watchAtNs;
    }

    private synchronized void watch() {
      if (!ended && !watched) {
        watched = connection.tryFillInterested(this);
      }
    }

    /** Called when the connection has something to read: bytes, or its end. */
    @Override
    public synchronized void succeeded() {
      if (!ended && isAtEnd()) {
        interrupted = true;
        thread.interrupt();
      }
    }

    /** Called when the connection failed, or was silent for its idle timeout. */
    @Override
    public synchronized void failed(Throwable cause) {
      watched = false;
      if (!ended && !connection.isOpen()) {
        interrupted = true;
        thread.interrupt();
      }
    }

    /** Returns whether what can be read is the end of the stream; pipelined bytes stay unread. */
    private boolean isAtEnd() {
      if (!(connection instanceof SocketChannelEndPoint socket)) {
        return false;
      }
      try {
        return socket.getChannel().socket().getInputStream().available() == 0;
      } catch (IOException _) {
        return true;
      }
    }

    /** Ends the watch; the connection may be read and written again. */
    void end() {
      calls.remove(this);
      boolean registered;
      synchronized (this) {
        ended = true;
        registered = watched;
        if (interrupted) {
          Thread.interrupted();
        }
      }
      if (registered && connection instanceof AbstractEndPoint endPoint) {
        endPoint.getFillInterest().fillable();
      }
    }
  }
}
