/** Logs and metrics that explain afterwards what happened to a request. */
@NullMarked
package org.cowslipstair.edge.log;

import org.jspecify.annotations.NullMarked;
