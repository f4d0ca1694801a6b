/** What a gateway believes about routes and backend instances, and since when. */
@NullMarked
package org.cowslipstair.logic.traffic;

import org.jspecify.annotations.NullMarked;
