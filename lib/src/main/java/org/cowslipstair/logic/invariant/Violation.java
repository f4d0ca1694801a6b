package org.cowslipstair.logic.invariant;

/**
 * A violated invariant.
 *
 * @param subject name of the object concerned
 * @param observed observed value
 * @param bound maximum allowed value
 */
public record Violation(Invariant invariant, String subject, long observed, long bound) {}
