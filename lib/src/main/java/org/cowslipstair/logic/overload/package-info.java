/** What callers are told while a service is short of room. */
@NullMarked
package org.cowslipstair.logic.overload;

import org.jspecify.annotations.NullMarked;
