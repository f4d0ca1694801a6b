/** Framed TCP connections between gateways. */
@NullMarked
package org.cowslipstair.edge.peer;

import org.jspecify.annotations.NullMarked;
