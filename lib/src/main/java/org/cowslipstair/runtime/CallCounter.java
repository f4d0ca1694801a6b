package org.cowslipstair.runtime;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.cowslipstair.logic.call.CallSummary;
import org.cowslipstair.model.call.MayHaveRunReason;
import org.cowslipstair.model.call.NotRunReason;

/** Counts calls by how they ended. Safe for concurrent use. */
final class CallCounter {
  private final LongAdder answered = new LongAdder();
  private final Map<NotRunReason, LongAdder> notRun = adders(NotRunReason.class);
  private final Map<MayHaveRunReason, LongAdder> mayHaveRun = adders(MayHaveRunReason.class);
  private final LongAdder callerGone = new LongAdder();
  private final LongAdder retries = new LongAdder();
  private final LongAdder hedged = new LongAdder();

  private static <E extends Enum<E>> Map<E, LongAdder> adders(Class<E> type) {
    Map<E, LongAdder> adders = new EnumMap<>(type);
    for (E constant : type.getEnumConstants()) {
      adders.put(constant, new LongAdder());
    }
    return adders;
  }

  void add(CallSummary summary) {
    retries.add(summary.retries());
    if (summary.hedged()) {
      hedged.increment();
    }
    LongAdder outcome =
        switch (summary.outcome()) {
          case CallSummary.Outcome.Answered _ -> answered;
          case CallSummary.Outcome.NotRun(NotRunReason reason) -> notRun.get(reason);
          case CallSummary.Outcome.MayHaveRun(MayHaveRunReason reason) -> mayHaveRun.get(reason);
          case CallSummary.Outcome.CallerGone _ -> callerGone;
        };
    if (outcome != null) {
      outcome.increment();
    }
  }

  CallCounts snapshot() {
    return new CallCounts(
        answered.sum(),
        sums(notRun),
        sums(mayHaveRun),
        callerGone.sum(),
        retries.sum(),
        hedged.sum());
  }

  private static <E extends Enum<E>> Map<E, Long> sums(Map<E, LongAdder> adders) {
    Map<E, Long> sums = new HashMap<>();
    adders.forEach(
        (key, adder) -> {
          if (adder.sum() > 0) {
            sums.put(key, adder.sum());
          }
        });
    return sums;
  }
}
