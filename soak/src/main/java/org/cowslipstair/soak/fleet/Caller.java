package org.cowslipstair.soak.fleet;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cowslipstair.soak.check.Calm;
import org.cowslipstair.soak.check.Ledger;
import org.cowslipstair.soak.check.RequestKind;
import org.cowslipstair.soak.check.Violations;
import org.cowslipstair.soak.net.HttpAnswer;
import org.cowslipstair.soak.net.HttpStream;
import org.cowslipstair.soak.net.Names;

/**
 * One caller: sends requests one after the other on a connection that it keeps until the gateway
 * ends it, and checks every answer.
 */
public final class Caller {
  private static final long DEADLINE_MS = 3_000;
  private static final long PAUSE_MS = 40;
  private static final double LEAVING_SHARE = 0.02;
  private static final double CHANGING_SHARE = 0.05;
  private static final int UPLOAD_BYTES = 60_000;
  private static final int FIRST_FAILURE = 300;
  private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

  private final String name;
  private final RandomGenerator random;
  private final Names names;
  private final List<GatewayProcess> gateways;
  private final Ledger ledger;
  private final Violations violations;
  private final Calm unplanned;
  private Optional<HttpStream> stream = Optional.empty();
  private GatewayProcess gateway;
  private int count;

  /**
   * Creates a caller.
   *
   * @param unplanned disturbances other than planned stops
   */
  public Caller(
      String name,
      RandomGenerator random,
      Names names,
      List<GatewayProcess> gateways,
      Ledger ledger,
      Violations violations,
      Calm unplanned) {
    this.name = name;
    this.random = random;
    this.names = names;
    this.gateways = gateways;
    this.ledger = ledger;
    this.violations = violations;
    this.unplanned = unplanned;
    this.gateway = gateways.getFirst();
  }

  /** Sends requests until the given time. */
  public void run(long untilNs) {
    try {
      while (System.nanoTime() < untilNs) {
        ask();
        Thread.sleep(random.nextLong(2 * PAUSE_MS));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      drop();
    }
  }

  private void ask() {
    RequestKind kind = RequestKind.values()[random.nextInt(RequestKind.values().length)];
    String id = name + "-" + count++;
    long sentNs = System.nanoTime();
    try {
      if (stream.isEmpty() || random.nextDouble() < CHANGING_SHARE) {
        connect();
      }
      HttpStream open = stream.orElseThrow(() -> new IOException("no gateway in rotation"));
      ledger.sent(id, kind, sentNs);
      send(open, kind, id);
      if (random.nextDouble() < LEAVING_SHARE) {
        drop();
        return;
      }
      check(kind, id, open.readAnswer());
    } catch (SocketTimeoutException e) {
      drop();
    } catch (IOException e) {
      drop();
      ended(id, sentNs, e);
    }
  }

  private void connect() throws IOException {
    drop();
    List<GatewayProcess> ready = gateways.stream().filter(GatewayProcess::isInRotation).toList();
    List<GatewayProcess> from = ready.isEmpty() ? gateways : ready;
    gateway = from.get(random.nextInt(from.size()));
    stream = Optional.of(HttpStream.open(gateway.callerPort()));
  }

  private void send(HttpStream open, RequestKind kind, String id) throws IOException {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", "soak.example");
    headers.put(names.requestId(), id);
    headers.put(names.deadlineMs(), Long.toString(DEADLINE_MS));
    int bytes = kind == RequestKind.UPLOAD ? random.nextInt(UPLOAD_BYTES) : 0;
    open.readTimeout(DEADLINE_MS);
    String method = kind == RequestKind.SAFE ? "GET" : "POST";
    open.request(method, "/" + kind.word() + "/x", headers, new byte[bytes]);
  }

  private void check(RequestKind kind, String id, HttpAnswer answer) {
    long nowNs = System.nanoTime();
    String said = "%s got %d from %s".formatted(id, answer.status(), gateway.name());
    String echoed = answer.header(names.requestId());
    if (!echoed.isEmpty() && !echoed.equals(id)) {
      violations.add(nowNs, "own answer", said + " for " + echoed);
    }
    if (answer.status() < FIRST_FAILURE && answer.whole()) {
      boolean own = Arrays.equals(answer.body(), Bodies.answer(id));
      if (!own || answer.header(names.proof()).isEmpty()) {
        violations.add(nowNs, "whole answer", said + " with another body or no proof");
      }
    }
    if (NOT_RUN.contains(answer.status()) && answer.header(names.proof()).isEmpty()) {
      ledger.refusedAsNotRun(id);
    } else {
      ledger.answered(id, answer.status() < FIRST_FAILURE && answer.whole());
    }
    boolean closes = answer.header("connection").equalsIgnoreCase("close");
    if (closes || !answer.whole()) {
      drop();
    }
  }

  /** A connection ended without an answer: a planned stop must not do that to work in progress. */
  private void ended(String id, long sentNs, IOException cause) {
    Optional<Ledger.Entry> entry = ledger.entry(id);
    boolean ran = entry.map(e -> !e.arrivals().isEmpty() && !e.isSpoiled()).orElse(false);
    long nowNs = System.nanoTime();
    if (ran && gateway.isStopping() && unplanned.isCalm(sentNs, nowNs)) {
      violations.add(
          nowNs,
          "planned stop cuts nothing off",
          "%s at %s: %s".formatted(id, gateway.name(), cause.getMessage()));
    }
  }

  private void drop() {
    stream.ifPresent(
        open -> {
          try {
            open.close();
          } catch (IOException ignored) {
            // It is gone already.
          }
        });
    stream = Optional.empty();
  }
}
