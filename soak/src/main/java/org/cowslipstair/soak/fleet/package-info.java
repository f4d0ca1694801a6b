/** The processes and stand-ins under test. */
@NullMarked
package org.cowslipstair.soak.fleet;

import org.jspecify.annotations.NullMarked;
