/** Rollouts: what a gateway tells the others about a new version, and what it is told. */
@NullMarked
package org.cowslipstair.edge.rollout;

import org.jspecify.annotations.NullMarked;
