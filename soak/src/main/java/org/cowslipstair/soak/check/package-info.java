/** What must hold, checked from what callers and backend servers saw. */
@NullMarked
package org.cowslipstair.soak.check;

import org.jspecify.annotations.NullMarked;
