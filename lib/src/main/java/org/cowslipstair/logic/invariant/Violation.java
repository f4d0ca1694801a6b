package org.cowslipstair.logic.invariant;

/**
 * A promise that did not hold.
 *
 * @param subject name of the object that it is about
 * @param observed what was seen
 * @param bound what is allowed
 */
public record Violation(Invariant invariant, String subject, long observed, long bound) {}
