package org.cowslipstair.soak.fleet;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.cowslipstair.soak.check.RequestLog;
import org.cowslipstair.soak.net.FaultyLink;
import org.cowslipstair.soak.net.HeaderNames;
import org.cowslipstair.soak.net.HttpConnection;
import org.cowslipstair.soak.net.HttpRequest;
import org.cowslipstair.soak.net.LoopbackHttpServer;

/** A stand-in for a backend server: slots, a short queue, cold starts and injected faults. */
public final class Backend implements AutoCloseable {
  /** Maximum number of requests that run concurrently. */
  public static final int SLOTS = 3;

  private static final int QUEUE_CAPACITY = 6;
  private static final int WORK_MS = 20;

  /** Exceeds the deadline of every caller. */
  private static final long HANG_MS = 6_000;

  private static final int OK = 200;
  private static final int SERVER_ERROR = 500;
  private static final int UNAVAILABLE = 503;
  private static final int MISDIRECTED = 421;
  private static final double FAULTY_SHARE = 0.3;
  private static final int SLOW_FACTOR = 10;

  private final String name;
  private final String service;
  private final String zone;
  private final HeaderNames headerNames;
  private final RequestLog requestLog;
  private final Consumer<Backend> onDeadlyRequest;
  private final LoopbackHttpServer server;
  private final FaultyLink link;
  private final Semaphore slots = new Semaphore(SLOTS, true);
  private final AtomicInteger activeRequests = new AtomicInteger();
  private volatile long coldUntilNs;
  private volatile boolean leaving;
  private volatile Fault fault = Fault.NONE;

  /** Kind of misbehaviour of a backend server. */
  public enum Fault {
    /** No fault. */
    NONE,
    /** Requests take longer. */
    SLOW,
    /** Some requests run and then fail. */
    ERRORS,
    /** Some connections are reset after the request ran. */
    RESETS,
    /** Some responses are truncated. */
    CUTS,
    /** Some requests never receive a response. */
    HANGS,
    /** Some responses are sent twice. */
    EXTRA,
    /** Some requests are rejected with the header that says they did not run. */
    SHEDS,
    /** Probes receive a response that says the backend server is unhealthy. */
    LIES
  }

  /**
   * Starts a backend server.
   *
   * @param onDeadlyRequest called when it begins to run a request that crashes it
   */
  public Backend(
      String name,
      String service,
      String zone,
      HeaderNames headerNames,
      RequestLog requestLog,
      Consumer<Backend> onDeadlyRequest)
      throws IOException {
    this.name = name;
    this.service = service;
    this.zone = zone;
    this.headerNames = headerNames;
    this.requestLog = requestLog;
    this.onDeadlyRequest = onDeadlyRequest;
    this.server = new LoopbackHttpServer(this::handle);
    this.link = new FaultyLink(server.port());
  }

  /** Returns the name of the backend server. */
  public String name() {
    return name;
  }

  /** Returns the service. */
  public String service() {
    return service;
  }

  /** Returns the zone. */
  public String zone() {
    return zone;
  }

  /** Returns the port of the link, which gateways connect to. */
  public int port() {
    return link.port();
  }

  /** Returns the link between gateways and this backend server. */
  public FaultyLink link() {
    return link;
  }

  /** Returns whether the backend server is leaving. */
  public boolean isLeaving() {
    return leaving;
  }

  /** Marks the backend server as leaving. */
  public void leave() {
    leaving = true;
  }

  /** Sets the current fault. */
  public void setFault(Fault newFault) {
    fault = newFault;
  }

  /** Makes the backend server cold until the given time. */
  public void setColdUntil(long ns) {
    coldUntilNs = ns;
  }

  /** Returns the remaining time of the cold start, in milliseconds; 0 if warm. */
  public long remainingColdMs() {
    return Math.max(0, (coldUntilNs - System.nanoTime()) / 1_000_000L);
  }

  private void handle(HttpRequest request, HttpConnection connection)
      throws IOException, InterruptedException {
    String id = request.header(headerNames.requestId());
    if (id.isEmpty()) {
      boolean isUnhealthy = leaving || fault == Fault.LIES;
      connection.writeResponse(isUnhealthy ? UNAVAILABLE : OK, headers(id), new byte[0]);
      return;
    }
    if (!request.header(headerNames.expectInstance()).equals(name)) {
      connection.writeResponse(MISDIRECTED, headers(id), new byte[0]);
      return;
    }
    requestLog.requestArrived(id, new RequestLog.Arrival(System.nanoTime(), name, service));
    if (activeRequests.incrementAndGet() > SLOTS + QUEUE_CAPACITY) {
      activeRequests.decrementAndGet();
      hang();
    }
    try {
      slots.acquire();
      try {
        if (DeadlyCaller.isDeadly(request)) {
          crash(id);
        }
        run(id, connection);
      } finally {
        slots.release();
      }
    } finally {
      activeRequests.decrementAndGet();
    }
  }

  private void crash(String id) throws IOException {
    requestLog.runStarted(id, name, System.nanoTime());
    requestLog.markResponseFaulty(id);
    onDeadlyRequest.accept(this);
    throw new IOException("crashed");
  }

  private void run(String id, HttpConnection connection) throws IOException, InterruptedException {
    Fault currentFault =
        ThreadLocalRandom.current().nextDouble() < FAULTY_SHARE ? fault : Fault.NONE;
    Map<String, String> headers = headers(id);
    if (currentFault == Fault.SHEDS) {
      headers.put(headerNames.notExecuted(), "1");
      connection.writeResponse(UNAVAILABLE, headers, new byte[0]);
      return;
    }
    requestLog.runStarted(id, name, System.nanoTime());
    int factor = fault == Fault.SLOW ? SLOW_FACTOR : 1;
    long workMs = WORK_MS / 2 + ThreadLocalRandom.current().nextLong(WORK_MS);
    TimeUnit.MILLISECONDS.sleep(workMs * factor);
    if (currentFault != Fault.NONE) {
      requestLog.markResponseFaulty(id);
    }
    headers.put(headerNames.proof(), "proof-" + id);
    byte[] body = ResponseBodies.expectedBody(id);
    switch (currentFault) {
      default -> connection.writeResponse(OK, headers, body);
      case ERRORS -> connection.writeResponse(SERVER_ERROR, headers, body);
      case RESETS -> connection.reset();
      case CUTS -> connection.writeTruncatedResponse(OK, headers, body);
      case HANGS -> hang();
      case EXTRA -> {
        connection.writeResponse(OK, headers, body);
        connection.writeResponse(OK, headers, body);
      }
    }
  }

  private static void hang() throws IOException, InterruptedException {
    TimeUnit.MILLISECONDS.sleep(HANG_MS);
    throw new IOException("hung");
  }

  private Map<String, String> headers(String id) {
    Map<String, String> headers = new LinkedHashMap<>();
    if (!id.isEmpty()) {
      headers.put(headerNames.requestId(), id);
    }
    int total = activeRequests.get();
    headers.put(headerNames.respondingInstance(), name);
    headers.put(
        headerNames.load(),
        "%d,%d,%d,100".formatted(Math.min(total, SLOTS), Math.max(0, total - SLOTS), SLOTS));
    headers.put(headerNames.remainingColdMs(), Long.toString(remainingColdMs()));
    return headers;
  }

  @Override
  public void close() throws IOException {
    link.close();
    server.close();
  }
}
