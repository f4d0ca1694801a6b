/** Connections to backend servers, probes of them and their observed state. */
@NullMarked
package org.cowslipstair.edge.backend;

import org.jspecify.annotations.NullMarked;
