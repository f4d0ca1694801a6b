/**
 * The broker of a pool: grants leases of slots, and rebuilds its lease table when its term starts.
 */
@NullMarked
package org.cowslipstair.logic.broker;

import org.jspecify.annotations.NullMarked;
