/** Policies without a broker: each gateway picks backend servers from its own information. */
@NullMarked
package org.cowslipstair.logic.policy;

import org.jspecify.annotations.NullMarked;
