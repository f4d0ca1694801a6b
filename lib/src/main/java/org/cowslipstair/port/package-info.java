/** Interfaces to external systems, implemented by adapters. */
@NullMarked
package org.cowslipstair.port;

import org.jspecify.annotations.NullMarked;
