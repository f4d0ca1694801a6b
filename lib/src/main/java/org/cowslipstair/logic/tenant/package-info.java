/** Decisions on the requests of tenants. */
@NullMarked
package org.cowslipstair.logic.tenant;

import org.jspecify.annotations.NullMarked;
