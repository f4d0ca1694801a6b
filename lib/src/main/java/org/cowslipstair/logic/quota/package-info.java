/** Keeps the whole fleet within the quotas of tenants. */
@NullMarked
package org.cowslipstair.logic.quota;

import org.jspecify.annotations.NullMarked;
