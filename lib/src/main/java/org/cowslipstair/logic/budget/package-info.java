/** This gateway's parts of budgets that the whole fleet shares. */
@NullMarked
package org.cowslipstair.logic.budget;

import org.jspecify.annotations.NullMarked;
