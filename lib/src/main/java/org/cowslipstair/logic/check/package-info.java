/** Checks a configuration before it is sent, and compares it with the one in force. */
@NullMarked
package org.cowslipstair.logic.check;

import org.jspecify.annotations.NullMarked;
