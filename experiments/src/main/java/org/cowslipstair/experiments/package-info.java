/** Demo, load tool and experiments: gateways and stand-ins together in one process. */
@NullMarked
package org.cowslipstair.experiments;

import org.jspecify.annotations.NullMarked;
