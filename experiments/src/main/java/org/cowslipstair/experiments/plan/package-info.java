/** Experiments that compare policies side by side in one run. */
@NullMarked
package org.cowslipstair.experiments.plan;

import org.jspecify.annotations.NullMarked;
