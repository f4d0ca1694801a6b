/** Operators' command line. */
@NullMarked
package org.cowslipstair.cli;

import org.jspecify.annotations.NullMarked;
