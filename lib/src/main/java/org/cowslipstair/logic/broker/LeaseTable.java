package org.cowslipstair.logic.broker;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.fleet.GatewayId;

/** Leases that are out, and slots that are still busy after their lease ended. */
final class LeaseTable {
  private final Map<LeaseKey, Entry> entries = new LinkedHashMap<>();
  private final Map<BackendName, Integer> out = new HashMap<>();
  private long nextNumber = 1;
  private long earliestExpiryNs = Long.MAX_VALUE;

  /** One lease. */
  static final class Entry {
    private final LeaseKey key;
    private final BackendName backend;
    private final long validNs;
    private long number;
    private long expiresAtNs;
    private boolean callEnded;
    private boolean withdrawn;

    private Entry(LeaseKey key, BackendName backend, long validNs, long number, long expiresAtNs) {
      this.key = key;
      this.backend = backend;
      this.validNs = validNs;
      this.number = number;
      this.expiresAtNs = expiresAtNs;
    }

    LeaseKey key() {
      return key;
    }

    BackendName backend() {
      return backend;
    }

    /** Returns the time for which the lease was granted. */
    long validNs() {
      return validNs;
    }

    /** Returns the number under which the backend's tracker knows the running call. */
    long number() {
      return number;
    }

    /** Returns the time at which the slot is free at the latest. */
    long expiresAtNs() {
      return expiresAtNs;
    }

    /** Returns whether the holder was told to start no further call. */
    boolean isWithdrawn() {
      return withdrawn;
    }

    /** Takes note that the holder was told to start no further call. */
    void withdraw() {
      withdrawn = true;
    }

    /** Returns whether the end of the call was already reported to the backend's tracker. */
    boolean callEnded() {
      return callEnded;
    }
  }

  /** Adds a lease under a new number. */
  Entry add(LeaseKey key, BackendName backend, long validNs, long expiresAtNs) {
    Entry entry = new Entry(key, backend, validNs, nextNumber, expiresAtNs);
    nextNumber++;
    entries.put(key, entry);
    out.merge(backend, 1, Integer::sum);
    earliestExpiryNs = Math.min(earliestExpiryNs, expiresAtNs);
    return entry;
  }

  Optional<Entry> get(LeaseKey key) {
    return Optional.ofNullable(entries.get(key));
  }

  /** Gives the lease a new number for the holder's next call. */
  long renumber(Entry entry) {
    entry.number = nextNumber;
    nextNumber++;
    return entry.number;
  }

  /** Keeps a slot busy until a time that is not later than its expiry. */
  void endCall(Entry entry, long busyUntilNs) {
    entry.callEnded = true;
    entry.expiresAtNs = Math.min(entry.expiresAtNs, busyUntilNs);
    earliestExpiryNs = Math.min(earliestExpiryNs, entry.expiresAtNs);
  }

  void remove(Entry entry) {
    if (entries.remove(entry.key) != null) {
      out.merge(entry.backend, -1, Integer::sum);
    }
  }

  /** Returns the leases that have expired. */
  List<Entry> expired(long nowNs) {
    if (nowNs < earliestExpiryNs) {
      return List.of();
    }
    List<Entry> expired = new ArrayList<>();
    earliestExpiryNs = Long.MAX_VALUE;
    for (Entry entry : entries.values()) {
      if (entry.expiresAtNs <= nowNs) {
        expired.add(entry);
      } else {
        earliestExpiryNs = Math.min(earliestExpiryNs, entry.expiresAtNs);
      }
    }
    return expired;
  }

  /** Returns the leases of one gateway. */
  List<Entry> ofHolder(GatewayId holder) {
    List<Entry> held = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (entry.key.holder().equals(holder)) {
        held.add(entry);
      }
    }
    return held;
  }

  /** Returns the gateways that hold leases. */
  Set<GatewayId> holders() {
    Set<GatewayId> holders = new LinkedHashSet<>();
    for (Entry entry : entries.values()) {
      holders.add(entry.key.holder());
    }
    return holders;
  }

  Collection<Entry> all() {
    return Collections.unmodifiableCollection(entries.values());
  }

  /** Returns how many slots of a backend server are busy. */
  int out(BackendName backend) {
    return out.getOrDefault(backend, 0);
  }

  void clear() {
    entries.clear();
    out.clear();
    earliestExpiryNs = Long.MAX_VALUE;
  }
}
