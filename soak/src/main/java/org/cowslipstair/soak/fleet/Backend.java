package org.cowslipstair.soak.fleet;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipstair.soak.check.Ledger;
import org.cowslipstair.soak.net.FaultyLink;
import org.cowslipstair.soak.net.HttpRequest;
import org.cowslipstair.soak.net.HttpStandin;
import org.cowslipstair.soak.net.HttpStream;
import org.cowslipstair.soak.net.Names;

/** A stand-in for a backend server: slots, a short queue, a cold start, and faults on command. */
public final class Backend implements AutoCloseable {
  /** Requests that run at once. */
  public static final int SLOTS = 3;

  private static final int QUEUE = 6;
  private static final int WORK_MS = 20;

  /** Longer than any caller waits. */
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
  private final Names names;
  private final Ledger ledger;
  private final HttpStandin server;
  private final FaultyLink link;
  private final Semaphore slots = new Semaphore(SLOTS, true);
  private final AtomicInteger inside = new AtomicInteger();
  private volatile long coldUntilNs;
  private volatile boolean leaving;
  private volatile Fault fault = Fault.NONE;

  /** What is wrong with a backend server. */
  public enum Fault {
    /** Nothing. */
    NONE,
    /** Work takes longer. */
    SLOW,
    /** Some requests fail after they ran. */
    ERRORS,
    /** Some connections are reset after the request ran. */
    RESETS,
    /** Some answers are cut. */
    CUTS,
    /** Some requests are never answered. */
    HANGS,
    /** Some answers come twice. */
    EXTRA,
    /** Some requests are refused with the mark that they did not run. */
    SHEDS,
    /** Health answers say ill. */
    LIES
  }

  /** Starts a backend server. */
  public Backend(String name, String service, String zone, Names names, Ledger ledger)
      throws IOException {
    this.name = name;
    this.service = service;
    this.zone = zone;
    this.names = names;
    this.ledger = ledger;
    this.server = new HttpStandin(this::handle);
    this.link = new FaultyLink(server.port());
  }

  /** Returns the instance name. */
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

  /** Returns the port at which gateways reach it, over its link. */
  public int port() {
    return link.port();
  }

  /** Returns its link. */
  public FaultyLink link() {
    return link;
  }

  /** Returns whether it is about to leave. */
  public boolean isLeaving() {
    return leaving;
  }

  /** Makes it say that it leaves. */
  public void leave() {
    leaving = true;
  }

  /** Sets what is wrong with it. */
  public void fault(Fault newer) {
    fault = newer;
  }

  /** Makes it cold until the given time. */
  public void coldUntil(long ns) {
    coldUntilNs = ns;
  }

  /** Returns the rest of its cold start, in milliseconds. */
  public long coldLeftMs() {
    return Math.max(0, (coldUntilNs - System.nanoTime()) / 1_000_000L);
  }

  private void handle(HttpRequest request, HttpStream stream)
      throws IOException, InterruptedException {
    String id = request.header(names.requestId());
    if (id.isEmpty()) {
      boolean ill = leaving || fault == Fault.LIES;
      stream.answer(ill ? UNAVAILABLE : OK, headers(id), new byte[0]);
      return;
    }
    if (!request.header(names.expectInstance()).equals(name)) {
      stream.answer(MISDIRECTED, headers(id), new byte[0]);
      return;
    }
    ledger.arrived(id, new Ledger.Arrival(System.nanoTime(), name, service));
    if (inside.incrementAndGet() > SLOTS + QUEUE) {
      inside.decrementAndGet();
      hang();
    }
    try {
      slots.acquire();
      try {
        run(id, stream);
      } finally {
        slots.release();
      }
    } finally {
      inside.decrementAndGet();
    }
  }

  private void run(String id, HttpStream stream) throws IOException, InterruptedException {
    Fault now = ThreadLocalRandom.current().nextDouble() < FAULTY_SHARE ? fault : Fault.NONE;
    Map<String, String> headers = headers(id);
    if (now == Fault.SHEDS) {
      headers.put(names.notExecuted(), "1");
      stream.answer(UNAVAILABLE, headers, new byte[0]);
      return;
    }
    ledger.runs(id, name, System.nanoTime());
    int factor = fault == Fault.SLOW ? SLOW_FACTOR : 1;
    long workMs = WORK_MS / 2 + ThreadLocalRandom.current().nextLong(WORK_MS);
    TimeUnit.MILLISECONDS.sleep(workMs * factor);
    if (now != Fault.NONE) {
      ledger.spoil(id);
    }
    headers.put(names.proof(), "proof-" + id);
    byte[] body = Bodies.answer(id);
    switch (now) {
      default -> stream.answer(OK, headers, body);
      case ERRORS -> stream.answer(SERVER_ERROR, headers, body);
      case RESETS -> stream.reset();
      case CUTS -> stream.cutAnswer(OK, headers, body);
      case HANGS -> hang();
      case EXTRA -> {
        stream.answer(OK, headers, body);
        stream.answer(OK, headers, body);
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
      headers.put(names.requestId(), id);
    }
    int total = inside.get();
    headers.put(names.instance(), name);
    headers.put(
        names.load(),
        "%d,%d,%d,100".formatted(Math.min(total, SLOTS), Math.max(0, total - SLOTS), SLOTS));
    headers.put(names.coldMs(), Long.toString(coldLeftMs()));
    return headers;
  }

  @Override
  public void close() throws IOException {
    link.close();
    server.close();
  }
}
