/** State and limit of each backend server of a pool, and the budget of its probes. */
@NullMarked
package org.cowslipstair.logic.backend;

import org.jspecify.annotations.NullMarked;
