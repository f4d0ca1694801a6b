package org.cowslipstair.logic.quarantine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Shares what this gateway knows about suspected requests with the other gateways. News goes out at
 * once, to all gateways of a small fleet and from gateway to gateway in a large one. Besides,
 * gateways compare what they know with a random other one from time to time, so that news also
 * reaches those that could not be reached, that have just started, or that only a third gateway can
 * reach. Not thread-safe.
 */
public final class QuarantineSync {
  private static final long COMPARE_INTERVAL_MS = 500;

  /** Interval of a gateway that has just started, until it has got a response, and how often. */
  private static final long FIRST_COMPARE_INTERVAL_MS = 50;

  private static final int MAX_FIRST_COMPARISONS = 100;

  /** Maximum number of gateways to which this one sends its own news. */
  private static final int DIRECT_FANOUT = 32;

  /** Number of gateways to which news of others is passed on in fleets above the direct fan-out. */
  private static final int FORWARD_FANOUT = 3;

  /** Maximum number of own news between two comparisons; beyond it comparisons carry them. */
  private static final int MAX_NEWS_PER_INTERVAL = 50;

  /** Maximum number of requests in a message, so that it fits into the frame of a peer. */
  private static final int MAX_SUSPECTS_PER_MESSAGE = 3;

  private final String self;
  private final QuarantineTable table;
  private final Supplier<List<String>> gateways;
  private final RandomGenerator random;
  private final Network network;
  private boolean isUpToDate;
  private int newsInInterval;
  private int comparisons;

  /** Sends messages to other gateways; they may be lost. */
  public interface Network {
    /** Sends a message. */
    void send(String gateway, QuarantineMessage message);

    /** Returns whether a gateway has been found unreachable from here. */
    boolean isUnreachable(String gateway);
  }

  /**
   * Creates a synchronizer.
   *
   * @param self name of this gateway
   * @param gateways returns the names of all known gateways
   * @param isFirstStart whether the whole fleet starts for the first time, so that nobody knows
   *     anything yet
   */
  public QuarantineSync(
      String self,
      QuarantineTable table,
      Supplier<List<String>> gateways,
      RandomGenerator random,
      boolean isFirstStart,
      Network network) {
    this.self = self;
    this.table = table;
    this.gateways = gateways;
    this.random = random;
    this.network = network;
    this.isUpToDate = isFirstStart;
  }

  /** Tells the other gateways what this one has learned itself. */
  public void publish(SuspectRequest news) {
    newsInInterval++;
    if (newsInInterval <= MAX_NEWS_PER_INTERVAL) {
      send(List.of(news), DIRECT_FANOUT);
    }
  }

  private void send(List<SuspectRequest> news, int fanout) {
    QuarantineMessage message = new QuarantineMessage.Suspects(news);
    List<String> others = shuffledOthers();
    others
        .subList(0, Math.min(fanout, others.size()))
        .forEach(gateway -> network.send(gateway, message));
  }

  private List<String> shuffledOthers() {
    List<String> others = new ArrayList<>(gateways.get());
    others.remove(self);
    Collections.shuffle(others, random);
    return others;
  }

  /** Handles the message of another gateway and returns the response, if there is one. */
  public Optional<QuarantineMessage> onMessage(QuarantineMessage message, long nowNs) {
    return switch (message) {
      case QuarantineMessage.Suspects(var suspects) -> {
        List<SuspectRequest> news = merge(suspects, nowNs);
        if (!news.isEmpty() && gateways.get().size() > DIRECT_FANOUT) {
          send(news, FORWARD_FANOUT);
        }
        yield Optional.empty();
      }
      case QuarantineMessage.Compare(long digest) ->
          Optional.of(
              digest == table.digest()
                  ? new QuarantineMessage.Same()
                  : new QuarantineMessage.Suspects(List.copyOf(table.suspects())));
      case QuarantineMessage.Same _ -> Optional.empty();
    };
  }

  private List<SuspectRequest> merge(List<SuspectRequest> suspects, long nowNs) {
    return suspects.stream()
        .filter(suspect -> table.merge(suspect, nowNs))
        .flatMap(suspect -> table.find(suspect.fingerprint()).stream())
        .toList();
  }

  /** Handles the response of another gateway to a comparison: sends it what it does not know. */
  public void onResponse(String gateway, QuarantineMessage response, long nowNs) {
    isUpToDate = true;
    if (!(response instanceof QuarantineMessage.Suspects(var suspects))) {
      return;
    }
    merge(suspects, nowNs);
    List<SuspectRequest> missing =
        table.suspects().stream()
            .filter(suspect -> suspects.stream().noneMatch(other -> isSame(suspect, other)))
            .toList();
    for (int i = 0; i < missing.size(); i += MAX_SUSPECTS_PER_MESSAGE) {
      int end = Math.min(missing.size(), i + MAX_SUSPECTS_PER_MESSAGE);
      network.send(gateway, new QuarantineMessage.Suspects(missing.subList(i, end)));
    }
  }

  private static boolean isSame(SuspectRequest first, SuspectRequest second) {
    return first.fingerprint().equals(second.fingerprint()) && first.isSameAs(second);
  }

  /**
   * Compares what this gateway knows with another one, unless there is nothing to tell. A gateway
   * that has just started asks until it gets a response.
   *
   * @return time in milliseconds after which to compare again
   */
  public long compare(long nowNs) {
    sendComparisons(nowNs);
    comparisons++;
    boolean isStarting = !isUpToDate && comparisons < MAX_FIRST_COMPARISONS;
    return isStarting ? FIRST_COMPARE_INTERVAL_MS : COMPARE_INTERVAL_MS;
  }

  private void sendComparisons(long nowNs) {
    newsInInterval = 0;
    table.removeExpired(nowNs);
    if (table.isEmpty() && isUpToDate) {
      return;
    }
    List<String> others = shuffledOthers();
    if (others.isEmpty()) {
      return;
    }
    Set<String> chosen = new HashSet<>();
    others.stream()
        .filter(gateway -> !network.isUnreachable(gateway))
        .findFirst()
        .ifPresent(chosen::add);
    // An unreachable one is tried too, since only that shows when it can be reached again.
    chosen.add(others.getFirst());
    QuarantineMessage message = new QuarantineMessage.Compare(table.digest());
    chosen.forEach(gateway -> network.send(gateway, message));
  }
}
