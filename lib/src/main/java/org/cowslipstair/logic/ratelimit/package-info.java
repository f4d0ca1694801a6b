/** Keeps the whole fleet within the rate limits that backend servers advertise. */
@NullMarked
package org.cowslipstair.logic.ratelimit;

import org.jspecify.annotations.NullMarked;
