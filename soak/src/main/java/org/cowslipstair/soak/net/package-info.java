/** Plain HTTP and TCP for the soak, with the faults a test needs. */
@NullMarked
package org.cowslipstair.soak.net;

import org.jspecify.annotations.NullMarked;
