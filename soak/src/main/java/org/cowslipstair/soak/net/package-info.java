/** Minimal HTTP and TCP for the soak, with fault injection. */
@NullMarked
package org.cowslipstair.soak.net;

import org.jspecify.annotations.NullMarked;
