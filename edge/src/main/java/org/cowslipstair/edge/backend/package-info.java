/** Connections to backend servers and what is known of each. */
@NullMarked
package org.cowslipstair.edge.backend;

import org.jspecify.annotations.NullMarked;
