/** Connections of callers. */
@NullMarked
package org.cowslipstair.edge.caller;

import org.jspecify.annotations.NullMarked;
