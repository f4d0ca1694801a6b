package org.cowslipstair.runtime;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.cowslipstair.logic.call.CallSummary;
import org.cowslipstair.model.call.MayHaveRunReason;
import org.cowslipstair.model.call.NotRunReason;

/** Counts calls by outcome. Safe for concurrent use. */
final class CallCounter {
  private final LongAdder answered = new LongAdder();
  private final Map<NotRunReason, LongAdder> notRun = createCounters(NotRunReason.class);
  private final Map<MayHaveRunReason, LongAdder> mayHaveRun =
      createCounters(MayHaveRunReason.class);
  private final LongAdder callerGone = new LongAdder();
  private final LongAdder retries = new LongAdder();
  private final LongAdder hedged = new LongAdder();

  private static <E extends Enum<E>> Map<E, LongAdder> createCounters(Class<E> type) {
    Map<E, LongAdder> counters = new EnumMap<>(type);
    for (E constant : type.getEnumConstants()) {
      counters.put(constant, new LongAdder());
    }
    return counters;
  }

  void record(CallSummary summary) {
    retries.add(summary.retries());
    if (summary.hedged()) {
      hedged.increment();
    }
    LongAdder outcomeCounter =
        switch (summary.outcome()) {
          case CallSummary.Outcome.Answered _ -> answered;
          case CallSummary.Outcome.NotRun(NotRunReason reason) -> notRun.get(reason);
          case CallSummary.Outcome.MayHaveRun(MayHaveRunReason reason) -> mayHaveRun.get(reason);
          case CallSummary.Outcome.CallerGone _ -> callerGone;
        };
    if (outcomeCounter != null) {
      outcomeCounter.increment();
    }
  }

  CallCounts snapshot() {
    return new CallCounts(
        answered.sum(),
        nonZeroCounts(notRun),
        nonZeroCounts(mayHaveRun),
        callerGone.sum(),
        retries.sum(),
        hedged.sum());
  }

  private static <E extends Enum<E>> Map<E, Long> nonZeroCounts(Map<E, LongAdder> counters) {
    Map<E, Long> counts = new HashMap<>();
    counters.forEach(
        (key, counter) -> {
          if (counter.sum() > 0) {
            counts.put(key, counter.sum());
          }
        });
    return counts;
  }
}
