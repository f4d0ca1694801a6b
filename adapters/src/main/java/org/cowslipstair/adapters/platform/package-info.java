/** Client of the platform's object API. */
@NullMarked
package org.cowslipstair.adapters.platform;

import org.jspecify.annotations.NullMarked;
