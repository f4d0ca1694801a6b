package org.cowslipstair.adapters.http;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.cowslipstair.logic.call.CallHandler;
import org.cowslipstair.logic.call.CallResult;
import org.cowslipstair.model.call.MayHaveRunReason;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.port.BackendException;
import org.cowslipstair.port.BackendTransport.BackendRequest;
import org.cowslipstair.port.MonotonicClock;

/**
 * Measures the time that the HTTP edge adds to a call: open loop, calls straight to a backend
 * server and calls through the edge taking turns. Arguments: calls per second each way, seconds of
 * warm-up, seconds measured.
 */
public final class EdgeLatency {
  private static final int BODY_CHARS = 1_000;
  private static final long SECOND_NS = 1_000_000_000L;
  private static final double NS_PER_MS = 1e6;

  private EdgeLatency() {}

  /** Runs the measurement and prints a table. */
  public static void main(String[] args) throws Exception {
    int perSecond = args.length > 0 ? Integer.parseInt(args[0]) : 500;
    int warmUpSeconds = args.length > 1 ? Integer.parseInt(args[1]) : 15;
    int seconds = args.length > 2 ? Integer.parseInt(args[2]) : 20;
    String body = "x".repeat(BODY_CHARS);
    try (RawBackend backend = new RawBackend(RawBackend.answering(_ -> RawBackend.ok(body)));
        OkHttpBackendTransport transport =
            new OkHttpBackendTransport(
                BackendLimits.defaults(), _ -> 1_000, MonotonicClock.system());
        CallerServer server = server(backend.server(), transport);
        ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
      int directPort = backend.server().address().port();
      Way direct = new Way(directPort, perSecond * seconds);
      Way through = new Way(server.start(), perSecond * seconds);
      drive(threads, List.of(direct, through), perSecond, warmUpSeconds, seconds);
      threads.shutdown();
      threads.awaitTermination(30, TimeUnit.SECONDS);
      print(direct, through);
    }
  }

  private static CallerServer server(BackendServer backend, OkHttpBackendTransport transport) {
    CallHandler handler =
        request -> {
          long deadlineNs = System.nanoTime() + 10 * SECOND_NS;
          BackendRequest call =
              new BackendRequest(
                  request.method(),
                  request.target(),
                  request.headers(),
                  request.body(),
                  deadlineNs);
          try {
            return new CallResult.Answered(transport.send(backend, call));
          } catch (BackendException _) {
            return new CallResult.MayHaveRun(MayHaveRunReason.CONNECTION_LOST);
          }
        };
    CallerServerSettings settings =
        new CallerServerSettings(new HostPort("127.0.0.1", 0), CallerLimits.defaults());
    AtomicInteger ids = new AtomicInteger();
    return new CallerServer(
        settings, handler, MonotonicClock.system(), () -> "id-" + ids.incrementAndGet());
  }

  private static void drive(
      ExecutorService threads, List<Way> ways, int perSecond, int warmUpSeconds, int seconds) {
    long intervalNs = SECOND_NS / perSecond / ways.size();
    long startNs = System.nanoTime();
    long calls = (long) perSecond * ways.size() * (warmUpSeconds + seconds);
    long warmUpCalls = (long) perSecond * ways.size() * warmUpSeconds;
    for (long i = 0; i < calls; i++) {
      long dueNs = startNs + i * intervalNs;
      for (long leftNs = dueNs - System.nanoTime(); leftNs > 0; ) {
        LockSupport.parkNanos(leftNs);
        leftNs = dueNs - System.nanoTime();
      }
      Way way = ways.get((int) (i % ways.size()));
      boolean measured = i >= warmUpCalls;
      threads.execute(() -> way.call(dueNs, measured));
    }
  }

  private static void print(Way direct, Way through) {
    long[] directNs = direct.sorted();
    long[] throughNs = through.sorted();
    System.out.printf(
        "calls: %d direct, %d through; failed: %d, %d%n",
        directNs.length, throughNs.length, direct.failed.get(), through.failed.get());
    System.out.println("quantile  direct ms  through ms  added ms");
    for (double quantile : new double[] {0.5, 0.9, 0.99, 0.999}) {
      double directMs = at(directNs, quantile) / NS_PER_MS;
      double throughMs = at(throughNs, quantile) / NS_PER_MS;
      System.out.printf(
          "%8.3f  %9.3f  %10.3f  %8.3f%n", quantile, directMs, throughMs, throughMs - directMs);
    }
  }

  private static long at(long[] sorted, double quantile) {
    return sorted.length == 0 ? 0 : sorted[(int) (quantile * (sorted.length - 1))];
  }

  /** One way to the backend server, with its connections and its times. */
  private static final class Way {
    private final Queue<RawCaller> idle = new ConcurrentLinkedQueue<>();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicInteger count = new AtomicInteger();
    private final long[] timesNs;
    private final int port;

    Way(int port, int calls) {
      this.port = port;
      this.timesNs = new long[calls];
    }

    void call(long dueNs, boolean measured) {
      try {
        RawCaller connection = idle.poll();
        if (connection == null) {
          connection = new RawCaller(port);
        }
        connection.send(RawCaller.get("/page?x=1"));
        int length = connection.read().body().length;
        long tookNs = System.nanoTime() - dueNs;
        idle.add(connection);
        if (measured && length == BODY_CHARS) {
          timesNs[count.getAndIncrement()] = tookNs;
        }
      } catch (IOException ignored) {
        failed.incrementAndGet();
      }
    }

    long[] sorted() {
      long[] sorted = Arrays.copyOf(timesNs, count.get());
      Arrays.sort(sorted);
      return sorted;
    }
  }
}
