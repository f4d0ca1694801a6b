/** Customers of a deployment that have keys and quotas of their own. */
@NullMarked
package org.cowslipstair.model.tenant;

import org.jspecify.annotations.NullMarked;
