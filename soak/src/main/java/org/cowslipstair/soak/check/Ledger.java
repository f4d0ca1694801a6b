package org.cowslipstair.soak.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** What callers sent and what backend servers saw. Safe for use by many threads. */
public final class Ledger {
  private final Violations violations;
  private final Map<String, Entry> entries = new ConcurrentHashMap<>();
  private final AtomicLong answered = new AtomicLong();
  private final AtomicLong served = new AtomicLong();

  /** Creates an empty ledger. */
  public Ledger(Violations violations) {
    this.violations = violations;
  }

  /** One arrival at a backend server. */
  public record Arrival(long atNs, String backend, String service) {}

  /** One request of a caller. */
  public static final class Entry {
    private final RequestKind kind;
    private final long sentNs;
    private final AtomicInteger runs = new AtomicInteger();
    private final List<Arrival> arrivals = new ArrayList<>();
    private volatile boolean refusedAsNotRun;
    private volatile boolean spoiled;
    private volatile boolean served;

    Entry(RequestKind kind, long sentNs) {
      this.kind = kind;
      this.sentNs = sentNs;
    }

    /** Returns the time at which the caller sent it. */
    public long sentNs() {
      return sentNs;
    }

    /** Returns the arrivals so far, in order. */
    public List<Arrival> arrivals() {
      synchronized (arrivals) {
        return List.copyOf(arrivals);
      }
    }

    /** Returns whether a fault of a backend server spoiled its answer. */
    public boolean isSpoiled() {
      return spoiled;
    }
  }

  /** A caller sends a request. */
  public void sent(String id, RequestKind kind, long nowNs) {
    entries.put(id, new Entry(kind, nowNs));
  }

  /** A request arrived at a backend server that does not refuse it. */
  public void arrived(String id, Arrival arrival) {
    Entry entry = entries.get(id);
    if (entry == null) {
      violations.add(arrival.atNs(), "unasked", "request %s was never sent".formatted(id));
      return;
    }
    synchronized (entry.arrivals) {
      entry.arrivals.add(arrival);
    }
  }

  /** A backend server runs a request. */
  public void runs(String id, String backend, long nowNs) {
    Entry entry = entries.get(id);
    if (entry != null && entry.runs.incrementAndGet() > 1 && entry.kind != RequestKind.SAFE) {
      violations.add(
          nowNs,
          "at most once",
          "%s request %s runs again on %s".formatted(entry.kind, id, backend));
    }
  }

  /** A fault of a backend server spoils the answer to a request. */
  public void spoil(String id) {
    Entry entry = entries.get(id);
    if (entry != null) {
      entry.spoiled = true;
    }
  }

  /** A caller was told that its request did not run and never will. */
  public void refusedAsNotRun(String id) {
    Entry entry = entries.get(id);
    if (entry != null) {
      entry.refusedAsNotRun = true;
    }
    answered.incrementAndGet();
  }

  /** A caller got another answer. */
  public void answered(String id, boolean good) {
    answered.incrementAndGet();
    Entry entry = entries.get(id);
    if (good && entry != null) {
      entry.served = true;
      served.incrementAndGet();
    }
  }

  /** Checks at the end that requests sent after a time were mostly served. */
  public void checkServedAfter(long ns, double share) {
    List<Entry> late = entries.values().stream().filter(entry -> entry.sentNs >= ns).toList();
    long good = late.stream().filter(entry -> entry.served).count();
    if (good < share * late.size() || late.isEmpty()) {
      violations.add(ns, "recovery", "%d of %d served at the end".formatted(good, late.size()));
    }
  }

  /** Returns the entry of a request. */
  public Optional<Entry> entry(String id) {
    return Optional.ofNullable(entries.get(id));
  }

  /** Returns all entries. */
  public List<Entry> all() {
    return List.copyOf(entries.values());
  }

  /** Returns the requests sent, answered, and answered well. */
  public String counts() {
    return "%d requests, %d answered, %d served"
        .formatted(entries.size(), answered.get(), served.get());
  }

  /** Checks at the end that no request ran of which the caller was told that it did not. */
  public void checkRefusals() {
    entries.forEach(
        (id, entry) -> {
          if (entry.refusedAsNotRun && entry.kind != RequestKind.SAFE && entry.runs.get() > 0) {
            violations.add(
                entry.sentNs, "not run is true", "%s request %s ran".formatted(entry.kind, id));
          }
        });
  }
}
