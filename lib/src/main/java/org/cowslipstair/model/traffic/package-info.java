/** What a gateway routes by: routes, services, backend instances and their reports. */
@NullMarked
package org.cowslipstair.model.traffic;

import org.jspecify.annotations.NullMarked;
