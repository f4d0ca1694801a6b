/** Pools of backend servers, backend server states, and call reports. */
@NullMarked
package org.cowslipstair.model.pool;

import org.jspecify.annotations.NullMarked;
