package org.cowslipstair.model.traffic;

/**
 * What a backend server says of its load.
 *
 * @param running requests that run
 * @param waiting requests that wait for a slot
 * @param slots requests that it runs at once
 * @param pace time that work takes now, relative to 1 as usual
 */
public record LoadReport(int running, int waiting, int slots, double pace) {
  /** Returns the requests that run or wait. */
  public int total() {
    return running + waiting;
  }
}
