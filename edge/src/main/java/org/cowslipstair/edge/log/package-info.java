/** Logs and metrics from which the handling of a request can be explained afterwards. */
@NullMarked
package org.cowslipstair.edge.log;

import org.jspecify.annotations.NullMarked;
