/** Pools of backend servers, and leases of their slots. */
@NullMarked
package org.cowslipstair.model.pool;

import org.jspecify.annotations.NullMarked;
