/** Open-loop load over real sockets, and what its callers saw. */
@NullMarked
package org.cowslipstair.experiments.load;

import org.jspecify.annotations.NullMarked;
