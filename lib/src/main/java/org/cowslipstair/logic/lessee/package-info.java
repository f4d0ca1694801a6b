/** Lessee of a gateway: acquires leases from brokers and keeps idle ones for its next calls. */
@NullMarked
package org.cowslipstair.logic.lessee;

import org.jspecify.annotations.NullMarked;
