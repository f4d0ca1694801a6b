/** Versions of services, and orders to move a service to another version. */
@NullMarked
package org.cowslipstair.model.rollout;

import org.jspecify.annotations.NullMarked;
