/** The gateway on one event loop, between callers and backend servers. */
@NullMarked
package org.cowslipstair.edge;

import org.jspecify.annotations.NullMarked;
