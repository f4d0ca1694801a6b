/** Forwarding of a request to a backend server and of its response to the caller. */
@NullMarked
package org.cowslipstair.edge.exchange;

import org.jspecify.annotations.NullMarked;
