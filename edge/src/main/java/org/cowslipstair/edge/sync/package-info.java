/** Keeps the traffic state in step with the platform's store. */
@NullMarked
package org.cowslipstair.edge.sync;

import org.jspecify.annotations.NullMarked;
