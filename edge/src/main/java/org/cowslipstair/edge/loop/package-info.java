/** Tasks on an event loop. */
@NullMarked
package org.cowslipstair.edge.loop;

import org.jspecify.annotations.NullMarked;
