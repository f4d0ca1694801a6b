/** Runs one call from its caller to a backend server and back: routing, retries, hedging. */
@NullMarked
package org.cowslipstair.logic.call;

import org.jspecify.annotations.NullMarked;
