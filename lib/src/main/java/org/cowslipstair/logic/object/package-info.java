/** JSON format and validation of configuration objects. */
@NullMarked
package org.cowslipstair.logic.object;

import org.jspecify.annotations.NullMarked;
