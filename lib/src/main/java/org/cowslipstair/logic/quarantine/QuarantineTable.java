package org.cowslipstair.logic.quarantine;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.model.traffic.BackendProcess;
import org.cowslipstair.model.traffic.RequestFingerprint;

/**
 * Decides which requests are held back because backend servers crash while they run them. All
 * requests that ran on a server when it crashed are suspected; a complete response clears one of
 * them, so that the blame falls on the others. A crash is a request's own if no other one has more
 * evidence against it. A request is held back after three crashes of which one is its own, or after
 * two that are its own, one of them without any other suspect, unless servers have crashed lately
 * for other reasons. Not thread-safe.
 */
public final class QuarantineTable {
  /** Number of crashes after which a request is held back unless others explain all of them. */
  static final int MAX_CRASHES = 3;

  /** Number of its own crashes after which a request is held back if one has no other suspect. */
  private static final int MIN_CRASHES = 2;

  /** Time in which all gateways report which requests ran on a server that has crashed. */
  private static final long SETTLING_NS = 50_000_000L;

  /** Time for which a crash under innocent requests only shows that servers crash by themselves. */
  private static final long UNEXPLAINED_WINDOW_NS = 10_000_000_000L;

  /** Maximum number of remembered requests; with all of them a comparison takes about 15 KB. */
  static final int MAX_SUSPECTS = 128;

  private static final long RETENTION_NS = 3_600_000_000_000L;

  /** Retention after a request has been cleared; by then all gateways in contact know it. */
  private static final long CLEARED_RETENTION_NS = 60_000_000_000L;

  /** Times after the last crash at which a request that is held back is tried again. */
  private static final long[] TRIAL_DELAYS_NS = {30_000_000_000L, 300_000_000_000L};

  /** The same for a request whose crashes all have other suspects. */
  private static final long[] SHARED_TRIAL_DELAYS_NS = {
    1_000_000_000L, 10_000_000_000L, 100_000_000_000L
  };

  /** Time for which one gateway may try a request again before it is the turn of the next one. */
  private static final long TRIAL_TURN_NS = 2_000_000_000L;

  /** Time in which all gateways must hold a request back, and number of later sends allowed. */
  private static final long NOTICE_NS = 3_000_000_000L;

  private static final int MAX_LATE_SENDS = 3;

  private final String self;
  private final InvariantMonitor monitor;
  private final Map<RequestFingerprint, SuspectRequest> suspects = new HashMap<>();
  private final Map<RequestFingerprint, Integer> lateSends = new HashMap<>();
  private final Set<String> headDigits = new HashSet<>();
  private OptionalLong digest = OptionalLong.empty();

  /**
   * Creates an empty table.
   *
   * @param self name of this gateway
   */
  public QuarantineTable(String self, InvariantMonitor monitor) {
    this.self = self;
    this.monitor = monitor;
  }

  /** Returns whether nothing is known about any request. */
  public boolean isEmpty() {
    return suspects.isEmpty();
  }

  /** Returns whether something is known about a request with these digits, whatever its body. */
  public boolean knowsHead(String digits) {
    return headDigits.contains(digits);
  }

  /** Returns all remembered requests. */
  public Collection<SuspectRequest> suspects() {
    return List.copyOf(suspects.values());
  }

  /** Returns what is known about a request. */
  public Optional<SuspectRequest> find(RequestFingerprint fingerprint) {
    return Optional.ofNullable(suspects.get(fingerprint));
  }

  /** Records that a backend server crashed while it ran a request; returns what is known now. */
  public SuspectRequest recordCrash(
      RequestFingerprint fingerprint, BackendProcess process, long nowNs) {
    SuspectRequest crashed = SuspectRequest.first(fingerprint, process, nowNs);
    merge(crashed, nowNs);
    return suspects.getOrDefault(fingerprint, crashed);
  }

  /**
   * Records that a backend server has run a request completely, or that an operator releases it.
   *
   * @return what is known now; empty if it was not suspected
   */
  public Optional<SuspectRequest> recordCleared(RequestFingerprint fingerprint, long nowNs) {
    SuspectRequest suspect = suspects.get(fingerprint);
    if (suspect == null || suspect.crashCount() == 0) {
      return Optional.empty();
    }
    SuspectRequest cleared = suspect.cleared(nowNs);
    put(cleared);
    lateSends.remove(fingerprint);
    return Optional.of(cleared);
  }

  /** Merges what another gateway knows; returns whether that was new. */
  public boolean merge(SuspectRequest other, long nowNs) {
    SuspectRequest known = suspects.get(other.fingerprint());
    SuspectRequest merged = known == null ? other : known.merge(other);
    if (isExpired(merged, nowNs)) {
      return false;
    }
    boolean isNew = known == null || !merged.isSameAs(known);
    put(merged);
    removeExcess(nowNs);
    return isNew;
  }

  private void put(SuspectRequest suspect) {
    suspects.put(suspect.fingerprint(), suspect);
    headDigits.add(suspect.fingerprint().headDigits());
    digest = OptionalLong.empty();
  }

  private static boolean isExpired(SuspectRequest suspect, long nowNs) {
    long retentionNs = suspect.crashCount() == 0 ? CLEARED_RETENTION_NS : RETENTION_NS;
    return nowNs - suspect.lastSeenNs() > retentionNs;
  }

  /** Removes requests that have not been seen for long. */
  public void removeExpired(long nowNs) {
    if (suspects.values().removeIf(suspect -> isExpired(suspect, nowNs))) {
      onRemoved();
    }
  }

  /** Beyond the limit, those with the fewest crashes go first, and of these the oldest. */
  private void removeExcess(long nowNs) {
    if (suspects.size() <= MAX_SUSPECTS) {
      return;
    }
    suspects.values().removeIf(suspect -> isExpired(suspect, nowNs));
    while (suspects.size() > MAX_SUSPECTS) {
      SuspectRequest leastImportant =
          suspects.values().stream()
              .min(
                  Comparator.comparingInt(SuspectRequest::crashCount)
                      .thenComparingLong(SuspectRequest::lastSeenNs))
              .orElseThrow();
      suspects.remove(leastImportant.fingerprint());
    }
    onRemoved();
  }

  private void onRemoved() {
    headDigits.clear();
    suspects.keySet().forEach(fingerprint -> headDigits.add(fingerprint.headDigits()));
    lateSends.keySet().retainAll(suspects.keySet());
    digest = OptionalLong.empty();
  }

  /** Returns whether a request may be sent, and records that it has arrived. */
  public QuarantineVerdict onArrival(RequestFingerprint fingerprint, long nowNs) {
    suspects.computeIfPresent(fingerprint, (_, suspect) -> suspect.seen(nowNs));
    return verdict(fingerprint, nowNs);
  }

  /** Returns whether a request may be sent. */
  public QuarantineVerdict verdict(RequestFingerprint fingerprint, long nowNs) {
    SuspectRequest suspect = suspects.get(fingerprint);
    if (suspect == null || suspect.crashCount() == 0) {
      return new QuarantineVerdict.Unsuspected();
    }
    return isHeldBack(suspect, nowNs)
        ? new QuarantineVerdict.HeldBack(trialInNs(suspect, nowNs))
        : new QuarantineVerdict.Suspected(suspect.crashCount());
  }

  /** Returns whether a request is held back. */
  public boolean isHeldBack(SuspectRequest suspect, long nowNs) {
    long ownCrashes = ownCrashes(suspect, nowNs);
    return ownCrashes > 0 && suspect.crashCount() >= MAX_CRASHES
        || ownCrashes >= MIN_CRASHES
            && hasCrashWithoutOtherSuspects(suspect, nowNs)
            && !hasUnexplainedCrash(nowNs);
  }

  /**
   * Returns the number of crashes for which no other request has more evidence against it. If this
   * one is to blame for the others too, its next crash tells, in which those have no part.
   */
  private long ownCrashes(SuspectRequest suspect, long nowNs) {
    return suspect.crashes().entrySet().stream()
        .filter(entry -> !entry.getValue().isCleared())
        .filter(entry -> !isExplainedByAnother(suspect, entry.getKey(), nowNs))
        .count();
  }

  private boolean isExplainedByAnother(SuspectRequest suspect, BackendProcess process, long nowNs) {
    return suspects.values().stream()
        .filter(other -> !other.fingerprint().equals(suspect.fingerprint()))
        .filter(other -> other.isSuspectedOf(process))
        .anyMatch(other -> isMoreSuspect(other, suspect, nowNs));
  }

  private boolean isMoreSuspect(SuspectRequest other, SuspectRequest suspect, long nowNs) {
    return other.crashCount() > suspect.crashCount()
        || other.crashCount() >= MIN_CRASHES && hasCrashWithoutOtherSuspects(other, nowNs);
  }

  private boolean hasCrashWithoutOtherSuspects(SuspectRequest suspect, long nowNs) {
    return suspect.crashes().entrySet().stream()
        .filter(entry -> !entry.getValue().isCleared())
        .filter(entry -> nowNs - entry.getValue().observedNs() >= SETTLING_NS)
        .anyMatch(
            entry ->
                suspects.values().stream()
                    .filter(other -> !other.fingerprint().equals(suspect.fingerprint()))
                    .noneMatch(other -> other.isSuspectedOf(entry.getKey())));
  }

  /** Returns whether a server has crashed lately while it ran nothing but innocent requests. */
  private boolean hasUnexplainedCrash(long nowNs) {
    return suspects.values().stream()
        .flatMap(suspect -> suspect.crashes().entrySet().stream())
        .filter(entry -> entry.getValue().isCleared())
        .filter(entry -> nowNs - entry.getValue().observedNs() < UNEXPLAINED_WINDOW_NS)
        .anyMatch(
            entry ->
                suspects.values().stream().noneMatch(other -> other.isSuspectedOf(entry.getKey())));
  }

  /** Returns the time until the next gateway may try the request; empty if none may any more. */
  private OptionalLong trialInNs(SuspectRequest suspect, long nowNs) {
    OptionalLong dueNs = trialDueNs(suspect, nowNs);
    if (dueNs.isEmpty()) {
      return dueNs;
    }
    long dueInNs = dueNs.getAsLong() - nowNs;
    return OptionalLong.of(dueInNs > 0 ? dueInNs : TRIAL_TURN_NS - -dueInNs % TRIAL_TURN_NS);
  }

  /** Returns the monotonic time of the next trial; empty if there is none any more. */
  private OptionalLong trialDueNs(SuspectRequest suspect, long nowNs) {
    long[] delaysNs =
        hasCrashWithoutOtherSuspects(suspect, nowNs) ? TRIAL_DELAYS_NS : SHARED_TRIAL_DELAYS_NS;
    if (suspect.trials() >= delaysNs.length) {
      return OptionalLong.empty();
    }
    long lastCrashNs = suspect.crashTimesNs().getLast();
    long sinceNs =
        suspect.trials() > 0 ? Math.max(lastCrashNs, suspect.lastTrialNs()) : lastCrashNs;
    return OptionalLong.of(sinceNs + delaysNs[suspect.trials()]);
  }

  /**
   * Starts a trial of a request that is held back if one is due and it is this gateway's turn.
   *
   * @param gateways names of all known gateways
   * @return what is known now; empty if the request must not be tried
   */
  public Optional<SuspectRequest> tryStartTrial(
      RequestFingerprint fingerprint, Collection<String> gateways, long nowNs) {
    SuspectRequest suspect = suspects.get(fingerprint);
    if (suspect == null || suspect.crashCount() == 0 || !isHeldBack(suspect, nowNs)) {
      return Optional.empty();
    }
    OptionalLong dueNs = trialDueNs(suspect, nowNs);
    boolean isDue = dueNs.isPresent() && dueNs.getAsLong() <= nowNs;
    if (!isDue || !isOwnTurn(fingerprint, nowNs - dueNs.getAsLong(), gateways)) {
      return Optional.empty();
    }
    SuspectRequest tried = suspect.tried(nowNs);
    put(tried);
    return Optional.of(tried);
  }

  private boolean isOwnTurn(
      RequestFingerprint fingerprint, long overdueNs, Collection<String> gateways) {
    String key = fingerprint.hex() + "/" + overdueNs / TRIAL_TURN_NS + "/";
    return gateways.stream()
        .max(
            Comparator.comparingLong(
                gateway ->
                    Hashing.murmur3_128()
                        .hashString(key + gateway, StandardCharsets.UTF_8)
                        .asLong()))
        .filter(self::equals)
        .isPresent();
  }

  /** Records that a suspected request is sent, and checks that the fleet holds it back in time. */
  public void recordSend(RequestFingerprint fingerprint, long nowNs) {
    SuspectRequest suspect = suspects.get(fingerprint);
    if (suspect == null || suspect.crashCount() < MAX_CRASHES || ownCrashes(suspect, nowNs) == 0) {
      return;
    }
    if (nowNs - suspect.crashTimesNs().get(MAX_CRASHES - 1) > NOTICE_NS) {
      int sends = lateSends.merge(fingerprint, 1, Integer::sum);
      monitor.checkAtMost(
          Invariant.CRASHING_REQUEST_HELD_BACK, fingerprint.hex(), sends, MAX_LATE_SENDS);
    }
  }

  /** Returns a hash of all crashes and trials; the same on gateways that know the same. */
  public long digest() {
    if (digest.isEmpty()) {
      digest = OptionalLong.of(computeDigest());
    }
    return digest.getAsLong();
  }

  private long computeDigest() {
    Hasher hasher = Hashing.murmur3_128().newHasher();
    suspects.values().stream()
        .sorted(Comparator.comparing(suspect -> suspect.fingerprint().hex()))
        .forEach(
            suspect -> {
              hasher.putUnencodedChars(suspect.fingerprint().hex()).putInt(suspect.trials());
              suspect.crashes().entrySet().stream()
                  .sorted(
                      Comparator.comparing(
                          entry -> entry.getKey().name().value() + entry.getKey().startedUnixMs()))
                  .forEach(
                      entry ->
                          hasher
                              .putUnencodedChars(entry.getKey().name().value())
                              .putLong(entry.getKey().startedUnixMs())
                              .putBoolean(entry.getValue().isCleared()));
            });
    return hasher.hash().asLong();
  }
}
