/** Messages that gateways send to each other. */
@NullMarked
package org.cowslipstair.model.peer;

import org.jspecify.annotations.NullMarked;
