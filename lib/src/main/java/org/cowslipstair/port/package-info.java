/** Interfaces to the outside; adapters implement them. */
@NullMarked
package org.cowslipstair.port;

import org.jspecify.annotations.NullMarked;
