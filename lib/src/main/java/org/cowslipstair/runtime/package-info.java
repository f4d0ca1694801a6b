/** Joins the decisions to ports: one control thread a gateway, timers, and the call path. */
@NullMarked
package org.cowslipstair.runtime;

import org.jspecify.annotations.NullMarked;
