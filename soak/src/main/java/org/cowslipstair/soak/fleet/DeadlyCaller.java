package org.cowslipstair.soak.fleet;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.soak.check.RequestKind;
import org.cowslipstair.soak.check.RequestLog;
import org.cowslipstair.soak.net.HeaderNames;
import org.cowslipstair.soak.net.HttpConnection;
import org.cowslipstair.soak.net.HttpRequest;

/** A caller that returns again and again with one request that crashes the server that runs it. */
public final class DeadlyCaller {
  private static final String PATH = "/safe/deadly-";
  private static final long DEADLINE_MS = 1_000;
  private static final long RETURN_INTERVAL_MS = 150;

  private final int number;
  private final HeaderNames headerNames;
  private final List<GatewayProcess> gateways;
  private final RequestLog requestLog;

  /**
   * Creates a caller.
   *
   * @param number distinguishes its request from those of other such callers
   */
  public DeadlyCaller(
      int number, HeaderNames headerNames, List<GatewayProcess> gateways, RequestLog requestLog) {
    this.number = number;
    this.headerNames = headerNames;
    this.gateways = List.copyOf(gateways);
    this.requestLog = requestLog;
  }

  /** Returns whether a request crashes the server that runs it. */
  static boolean isDeadly(HttpRequest request) {
    return request.target().startsWith(PATH);
  }

  /** Returns the start of the ids of all returns of the request. */
  public String idPrefix() {
    return "deadly-" + number + "-";
  }

  /** Returns with the request, to any gateway, until the given time. */
  public void run(long untilNs) throws InterruptedException {
    for (int i = 0; System.nanoTime() < untilNs; i++) {
      send(idPrefix() + i);
      TimeUnit.MILLISECONDS.sleep(RETURN_INTERVAL_MS);
    }
  }

  private void send(String id) {
    GatewayProcess gateway = gateways.get(ThreadLocalRandom.current().nextInt(gateways.size()));
    try (HttpConnection connection = HttpConnection.open(gateway.callerPort())) {
      connection.setReadTimeoutMs(DEADLINE_MS);
      requestLog.requestSent(id, RequestKind.SAFE, System.nanoTime());
      Map<String, String> headers =
          Map.of(
              "Host",
              "soak.example",
              headerNames.requestId(),
              id,
              headerNames.deadlineMs(),
              Long.toString(DEADLINE_MS));
      connection.writeRequest("GET", PATH + number, headers, new byte[0]);
      connection.readResponse();
    } catch (IOException ignored) {
      // The caller returns, whatever happens to it.
    }
  }
}
