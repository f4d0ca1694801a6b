/**
 * A gateway's view of the configuration and the backend instances, merged from the store's
 * collections.
 */
@NullMarked
package org.cowslipstair.logic.traffic;

import org.jspecify.annotations.NullMarked;
