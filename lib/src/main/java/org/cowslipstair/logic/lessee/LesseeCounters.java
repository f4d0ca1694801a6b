package org.cowslipstair.logic.lessee;

/** Event counts of one lessee since the start of the process. Not thread-safe. */
final class LesseeCounters {
  private long acquires;
  private long grants;
  private long refusals;
  private long spills;
  private long reuses;
  private long recalls;
  private long fallbackStarts;
  private long lateGrants;

  void countAcquire() {
    acquires++;
  }

  void countGrant() {
    grants++;
  }

  void countRefusal() {
    refusals++;
  }

  void countSpill() {
    spills++;
  }

  void countReuse() {
    reuses++;
  }

  void countRecall() {
    recalls++;
  }

  void countFallbackStart() {
    fallbackStarts++;
  }

  void countLateGrant() {
    lateGrants++;
  }

  LesseeStatus.Counts counts() {
    return new LesseeStatus.Counts(
        acquires, grants, refusals, spills, reuses, recalls, fallbackStarts, lateGrants);
  }
}
