/** Benchmarks of the request path; run by {@code bin/cowslipstair bench}. */
@NullMarked
package org.cowslipstair.experiments.bench;

import org.jspecify.annotations.NullMarked;
