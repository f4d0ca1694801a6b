/** The gateway on one event loop: callers on one side, backend servers on the other. */
@NullMarked
package org.cowslipstair.edge;

import org.jspecify.annotations.NullMarked;
