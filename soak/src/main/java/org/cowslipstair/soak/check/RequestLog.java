package org.cowslipstair.soak.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Records the requests that callers sent and how backend servers processed them. Thread-safe. */
public final class RequestLog {
  private final Violations violations;
  private final Map<String, Entry> entries = new ConcurrentHashMap<>();
  private final AtomicLong answered = new AtomicLong();
  private final AtomicLong served = new AtomicLong();

  /** Creates an empty log. */
  public RequestLog(Violations violations) {
    this.violations = violations;
  }

  /** The arrival of a request at a backend server. */
  public record Arrival(long atNs, String backend, String service) {}

  /** One request of a caller. */
  public static final class Entry {
    private final RequestKind kind;
    private final long sentNs;
    private final AtomicInteger runs = new AtomicInteger();
    private final List<Arrival> arrivals = new ArrayList<>();
    private volatile boolean reportedNotRun;
    private volatile boolean responseFaulty;
    private volatile boolean served;

    Entry(RequestKind kind, long sentNs) {
      this.kind = kind;
      this.sentNs = sentNs;
    }

    /** Returns the time at which the caller sent the request. */
    public long sentNs() {
      return sentNs;
    }

    /** Returns the arrivals so far, in order of time. */
    public List<Arrival> arrivals() {
      synchronized (arrivals) {
        return List.copyOf(arrivals);
      }
    }

    /** Returns whether a fault of a backend server corrupted or prevented the response. */
    public boolean isResponseFaulty() {
      return responseFaulty;
    }
  }

  /** Records that a caller sends a request. */
  public void requestSent(String id, RequestKind kind, long nowNs) {
    entries.put(id, new Entry(kind, nowNs));
  }

  /** Records that a request arrived at the backend server it was meant for. */
  public void requestArrived(String id, Arrival arrival) {
    Entry entry = entries.get(id);
    if (entry == null) {
      violations.add(arrival.atNs(), "unasked", "request %s was never sent".formatted(id));
      return;
    }
    synchronized (entry.arrivals) {
      entry.arrivals.add(arrival);
    }
  }

  /** Records that a backend server starts to run a request. */
  public void runStarted(String id, String backend, long nowNs) {
    Entry entry = entries.get(id);
    if (entry != null && entry.runs.incrementAndGet() > 1 && entry.kind != RequestKind.SAFE) {
      violations.add(
          nowNs,
          "at most once",
          "%s request %s runs again on %s".formatted(entry.kind, id, backend));
    }
  }

  /** Records that a fault of a backend server corrupts or prevents the response to a request. */
  public void markResponseFaulty(String id) {
    Entry entry = entries.get(id);
    if (entry != null) {
      entry.responseFaulty = true;
    }
  }

  /** Records that a caller received a response that says its request did not run and never will. */
  public void reportedNotRun(String id) {
    Entry entry = entries.get(id);
    if (entry != null) {
      entry.reportedNotRun = true;
    }
    answered.incrementAndGet();
  }

  /** Records any other response to a caller. */
  public void responseReceived(String id, boolean isGood) {
    answered.incrementAndGet();
    Entry entry = entries.get(id);
    if (isGood && entry != null) {
      entry.served = true;
      served.incrementAndGet();
    }
  }

  /**
   * Checks at the end of a run that at least a given share of the requests sent after a time was
   * served.
   */
  public void checkServedAfter(long ns, double minServedShare) {
    List<Entry> lateEntries =
        entries.values().stream().filter(entry -> entry.sentNs >= ns).toList();
    long servedCount = lateEntries.stream().filter(entry -> entry.served).count();
    if (servedCount < minServedShare * lateEntries.size() || lateEntries.isEmpty()) {
      violations.add(
          ns, "recovery", "%d of %d served at the end".formatted(servedCount, lateEntries.size()));
    }
  }

  /** Returns the entry of a request, empty if the request was never sent. */
  public Optional<Entry> entry(String id) {
    return Optional.ofNullable(entries.get(id));
  }

  /** Returns the entries of requests whose ids start with a prefix. */
  public List<Entry> entriesOf(String idPrefix) {
    return entries.entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(idPrefix))
        .map(Map.Entry::getValue)
        .toList();
  }

  /** Returns all entries. */
  public List<Entry> entries() {
    return List.copyOf(entries.values());
  }

  /** Returns a summary: the number of requests sent, answered, and answered successfully. */
  public String counts() {
    return "%d requests, %d answered, %d served"
        .formatted(entries.size(), answered.get(), served.get());
  }

  /** Checks at the end of a run that no request ran that was reported to its caller as not run. */
  public void checkNotRunReports() {
    entries.forEach(
        (id, entry) -> {
          if (entry.reportedNotRun && entry.kind != RequestKind.SAFE && entry.runs.get() > 0) {
            violations.add(
                entry.sentNs, "not run is true", "%s request %s ran".formatted(entry.kind, id));
          }
        });
  }
}
