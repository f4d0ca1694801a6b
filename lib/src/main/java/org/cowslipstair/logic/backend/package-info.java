/** Tracks the state, the limit and the probe budget of each backend server of a pool. */
@NullMarked
package org.cowslipstair.logic.backend;

import org.jspecify.annotations.NullMarked;
