/** Permits for requests to backend servers that limit their rate, exchanged between gateways. */
@NullMarked
package org.cowslipstair.edge.permit;

import org.jspecify.annotations.NullMarked;
