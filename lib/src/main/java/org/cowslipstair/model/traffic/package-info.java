/** Data used for routing: routes, services, backend instances and their load reports. */
@NullMarked
package org.cowslipstair.model.traffic;

import org.jspecify.annotations.NullMarked;
