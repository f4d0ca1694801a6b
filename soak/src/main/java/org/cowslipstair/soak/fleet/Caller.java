package org.cowslipstair.soak.fleet;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cowslipstair.soak.check.DisturbanceLog;
import org.cowslipstair.soak.check.RequestKind;
import org.cowslipstair.soak.check.RequestLog;
import org.cowslipstair.soak.check.Violations;
import org.cowslipstair.soak.net.HeaderNames;
import org.cowslipstair.soak.net.HttpConnection;
import org.cowslipstair.soak.net.HttpResponse;

/**
 * One caller: sends requests on a persistent connection, one after the other and sometimes several
 * at once, and checks every response. It reconnects when the gateway closes the connection, and
 * occasionally at random.
 */
public final class Caller {
  private static final long DEADLINE_MS = 3_000;
  private static final long PAUSE_MS = 40;
  private static final double ABANDON_SHARE = 0.02;
  private static final double RECONNECT_SHARE = 0.05;
  private static final double PIPELINED_SHARE = 0.1;
  private static final int MAX_PIPELINED = 4;
  private static final int UPLOAD_BYTES = 60_000;
  private static final int MIN_FAILURE_STATUS = 300;
  private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

  private final String name;
  private final RandomGenerator random;
  private final HeaderNames headerNames;
  private final List<GatewayProcess> gateways;
  private final RequestLog requestLog;
  private final Violations violations;
  private final DisturbanceLog unplannedDisturbances;
  private Optional<HttpConnection> connection = Optional.empty();
  private GatewayProcess gateway;
  private int count;

  /**
   * Creates a caller.
   *
   * @param unplannedDisturbances disturbances of gateways other than planned stops
   */
  public Caller(
      String name,
      RandomGenerator random,
      HeaderNames headerNames,
      List<GatewayProcess> gateways,
      RequestLog requestLog,
      Violations violations,
      DisturbanceLog unplannedDisturbances) {
    this.name = name;
    this.random = random;
    this.headerNames = headerNames;
    this.gateways = gateways;
    this.requestLog = requestLog;
    this.violations = violations;
    this.unplannedDisturbances = unplannedDisturbances;
    this.gateway = gateways.getFirst();
  }

  /** Sends requests until the given time. */
  public void run(long untilNs) {
    try {
      while (System.nanoTime() < untilNs) {
        if (random.nextDouble() < PIPELINED_SHARE) {
          sendPipelined(2 + random.nextInt(MAX_PIPELINED - 1));
        } else {
          sendRequest();
        }
        Thread.sleep(random.nextLong(2 * PAUSE_MS));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      disconnect();
    }
  }

  private void sendRequest() {
    RequestKind kind = RequestKind.values()[random.nextInt(RequestKind.values().length)];
    String id = name + "-" + count++;
    long sentNs = System.nanoTime();
    try {
      if (connection.isEmpty() || random.nextDouble() < RECONNECT_SHARE) {
        connect();
      }
      HttpConnection open = connection.orElseThrow(() -> new IOException("no gateway in rotation"));
      requestLog.requestSent(id, kind, sentNs);
      send(open, kind, id);
      if (random.nextDouble() < ABANDON_SHARE) {
        disconnect();
        return;
      }
      check(kind, id, open.readResponse());
    } catch (SocketTimeoutException e) {
      disconnect();
    } catch (IOException e) {
      disconnect();
      checkLostConnection(id, sentNs, e);
    }
  }

  /** Sends safe requests without waiting for responses, which arrive in the same order. */
  private void sendPipelined(int requests) {
    List<String> ids = new ArrayList<>();
    long sentNs = System.nanoTime();
    try {
      if (connection.isEmpty()) {
        connect();
      }
      HttpConnection open = connection.orElseThrow(() -> new IOException("no gateway in rotation"));
      for (int i = 0; i < requests; i++) {
        String id = name + "-" + count++;
        ids.add(id);
        requestLog.requestSent(id, RequestKind.SAFE, sentNs);
        send(open, RequestKind.SAFE, id);
      }
      while (!ids.isEmpty() && connection.isPresent()) {
        check(RequestKind.SAFE, ids.getFirst(), open.readResponse());
        ids.removeFirst();
      }
    } catch (SocketTimeoutException e) {
      disconnect();
    } catch (IOException e) {
      disconnect();
      if (!ids.isEmpty()) {
        checkLostConnection(ids.getFirst(), sentNs, e);
      }
    }
  }

  private void connect() throws IOException {
    disconnect();
    List<GatewayProcess> ready = gateways.stream().filter(GatewayProcess::isInRotation).toList();
    List<GatewayProcess> candidates = ready.isEmpty() ? gateways : ready;
    gateway = candidates.get(random.nextInt(candidates.size()));
    connection = Optional.of(HttpConnection.open(gateway.callerPort()));
  }

  private void send(HttpConnection open, RequestKind kind, String id) throws IOException {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", "soak.example");
    headers.put(headerNames.requestId(), id);
    headers.put(headerNames.deadlineMs(), Long.toString(DEADLINE_MS));
    int bytes = kind == RequestKind.UPLOAD ? random.nextInt(UPLOAD_BYTES) : 0;
    open.setReadTimeoutMs(DEADLINE_MS);
    String method = kind == RequestKind.SAFE ? "GET" : "POST";
    open.writeRequest(method, "/" + kind.pathSegment() + "/x", headers, new byte[bytes]);
  }

  private void check(RequestKind kind, String id, HttpResponse response) {
    long nowNs = System.nanoTime();
    String description = "%s got %d from %s".formatted(id, response.status(), gateway.name());
    String echoed = response.header(headerNames.requestId());
    if (!echoed.isEmpty() && !echoed.equals(id)) {
      violations.add(nowNs, "own answer", description + " for " + echoed);
    }
    if (response.status() < MIN_FAILURE_STATUS && response.isComplete()) {
      boolean hasExpectedBody = Arrays.equals(response.body(), ResponseBodies.expectedBody(id));
      if (!hasExpectedBody || response.header(headerNames.proof()).isEmpty()) {
        violations.add(
            nowNs, "whole answer", description + " with an unexpected body or without proof");
      }
    }
    if (NOT_RUN_STATUSES.contains(response.status())
        && response.header(headerNames.proof()).isEmpty()) {
      requestLog.reportedNotRun(id);
    } else {
      requestLog.responseReceived(
          id, response.status() < MIN_FAILURE_STATUS && response.isComplete());
    }
    boolean closesConnection = response.header("connection").equalsIgnoreCase("close");
    if (closesConnection || !response.isComplete()) {
      disconnect();
    }
  }

  /**
   * Checks a connection that ended without a response: a planned stop must not cut off a running
   * request.
   */
  private void checkLostConnection(String id, long sentNs, IOException cause) {
    Optional<RequestLog.Entry> entry = requestLog.entry(id);
    boolean reachedHealthyBackend =
        entry.map(e -> !e.arrivals().isEmpty() && !e.isResponseFaulty()).orElse(false);
    long nowNs = System.nanoTime();
    if (reachedHealthyBackend
        && gateway.isStopping()
        && unplannedDisturbances.isUndisturbed(sentNs, nowNs)) {
      violations.add(
          nowNs,
          "planned stop cuts nothing off",
          "%s at %s: %s".formatted(id, gateway.name(), cause.getMessage()));
    }
  }

  private void disconnect() {
    connection.ifPresent(
        open -> {
          try {
            open.close();
          } catch (IOException ignored) {
            // The connection is already closed.
          }
        });
    connection = Optional.empty();
  }
}
