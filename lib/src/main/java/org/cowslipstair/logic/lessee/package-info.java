/** The side of a gateway that asks brokers for leases and keeps idle ones for its next calls. */
@NullMarked
package org.cowslipstair.logic.lessee;

import org.jspecify.annotations.NullMarked;
