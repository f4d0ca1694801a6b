/** Gateways as members of the fleet. */
@NullMarked
package org.cowslipstair.model.fleet;

import org.jspecify.annotations.NullMarked;
