/** Runs the brokers and the lessee of one gateway, and admits calls under their leases. */
@NullMarked
package org.cowslipstair.runtime.lease;

import org.jspecify.annotations.NullMarked;
