package org.cowslipstair.model.config;

/**
 * Revisions that a store lost when it came back from a copy.
 *
 * @param after revision at which the copy ends
 * @param before first revision after the return
 */
public record RevisionRange(long after, long before) {
  /** Returns whether a revision was lost. */
  public boolean contains(long revision) {
    return revision > after && revision < before;
  }
}
