/** This gateway's shares of fleet-wide budgets. */
@NullMarked
package org.cowslipstair.logic.budget;

import org.jspecify.annotations.NullMarked;
