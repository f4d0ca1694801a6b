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

/** Outstanding leases, and slots that are still busy after their lease ended. */
final class LeaseTable {
  private final Map<LeaseKey, Entry> entries = new LinkedHashMap<>();
  private final Map<BackendName, Integer> busySlots = new HashMap<>();
  private long nextCallNumber = 1;
  private long earliestExpiryNs = Long.MAX_VALUE;

  /** One lease. */
  static final class Entry {
    private final LeaseKey key;
    private final BackendName backend;
    private final long validNs;
    private long callNumber;
    private long expiresAtNs;
    private boolean callEnded;
    private boolean withdrawn;

    private Entry(
        LeaseKey key, BackendName backend, long validNs, long callNumber, long expiresAtNs) {
      this.key = key;
      this.backend = backend;
      this.validNs = validNs;
      this.callNumber = callNumber;
      this.expiresAtNs = expiresAtNs;
    }

    LeaseKey key() {
      return key;
    }

    BackendName backend() {
      return backend;
    }

    /** Returns the duration for which the lease was granted. */
    long validNs() {
      return validNs;
    }

    /** Returns the number that identifies the running call in {@code PoolBackendTracker}. */
    long callNumber() {
      return callNumber;
    }

    /** Returns the latest time at which the slot becomes free. */
    long expiresAtNs() {
      return expiresAtNs;
    }

    /** Returns whether the holder was notified not to start another call. */
    boolean isWithdrawn() {
      return withdrawn;
    }

    /** Records that the holder was notified not to start another call. */
    void markWithdrawn() {
      withdrawn = true;
    }

    /** Returns whether the end of the call was already reported to {@code PoolBackendTracker}. */
    boolean hasCallEnded() {
      return callEnded;
    }
  }

  /** Adds a lease with a new call number. */
  Entry add(LeaseKey key, BackendName backend, long validNs, long expiresAtNs) {
    Entry entry = new Entry(key, backend, validNs, nextCallNumber, expiresAtNs);
    nextCallNumber++;
    entries.put(key, entry);
    busySlots.merge(backend, 1, Integer::sum);
    earliestExpiryNs = Math.min(earliestExpiryNs, expiresAtNs);
    return entry;
  }

  Optional<Entry> get(LeaseKey key) {
    return Optional.ofNullable(entries.get(key));
  }

  /** Assigns a new call number for the holder's next call under the lease, and returns it. */
  long assignNextCallNumber(Entry entry) {
    entry.callNumber = nextCallNumber;
    nextCallNumber++;
    return entry.callNumber;
  }

  /** Marks the call as ended; its slot stays busy until the given time or an earlier expiry. */
  void endCall(Entry entry, long busyUntilNs) {
    entry.callEnded = true;
    entry.expiresAtNs = Math.min(entry.expiresAtNs, busyUntilNs);
    earliestExpiryNs = Math.min(earliestExpiryNs, entry.expiresAtNs);
  }

  void remove(Entry entry) {
    if (entries.remove(entry.key) != null) {
      busySlots.merge(entry.backend, -1, Integer::sum);
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

  /** Returns the leases that one gateway holds. */
  List<Entry> heldBy(GatewayId holder) {
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
  int busySlots(BackendName backend) {
    return busySlots.getOrDefault(backend, 0);
  }

  void clear() {
    entries.clear();
    busySlots.clear();
    earliestExpiryNs = Long.MAX_VALUE;
  }
}
