/** Checks the soak's rules against what callers and backend servers observed. */
@NullMarked
package org.cowslipstair.soak.check;

import org.jspecify.annotations.NullMarked;
