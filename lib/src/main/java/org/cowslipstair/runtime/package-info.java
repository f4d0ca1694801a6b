/** Connects the decision logic to the ports: one control thread per gateway, timers, and calls. */
@NullMarked
package org.cowslipstair.runtime;

import org.jspecify.annotations.NullMarked;
