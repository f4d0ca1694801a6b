/**
 * The broker of a pool: grants leases of slots, and rebuilds its table after a change of broker.
 */
@NullMarked
package org.cowslipstair.logic.broker;

import org.jspecify.annotations.NullMarked;
