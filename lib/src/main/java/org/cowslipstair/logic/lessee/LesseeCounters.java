package org.cowslipstair.logic.lessee;

/** Counts of one lessee since the start of the process. Driven by one thread. */
final class LesseeCounters {
  private long acquires;
  private long grants;
  private long refusals;
  private long spills;
  private long reuses;
  private long recalls;
  private long fallbackStarts;
  private long lateGrants;

  void acquired() {
    acquires++;
  }

  void granted() {
    grants++;
  }

  void refused() {
    refusals++;
  }

  void spilled() {
    spills++;
  }

  void reused() {
    reuses++;
  }

  void recalled() {
    recalls++;
  }

  void startedFallback() {
    fallbackStarts++;
  }

  void grantedLate() {
    lateGrants++;
  }

  LesseeStatus.Counts counts() {
    return new LesseeStatus.Counts(
        acquires, grants, refusals, spills, reuses, recalls, fallbackStarts, lateGrants);
  }
}
