/** One request from its head to its answer. */
@NullMarked
package org.cowslipstair.edge.exchange;

import org.jspecify.annotations.NullMarked;
