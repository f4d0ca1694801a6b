/** Moves a service to another version of its backend servers, or back if that version is bad. */
@NullMarked
package org.cowslipstair.logic.rollout;

import org.jspecify.annotations.NullMarked;
