/** What control costs a gateway, by the size of the fleet and of the configuration. */
@NullMarked
package org.cowslipstair.experiments.cost;

import org.jspecify.annotations.NullMarked;
