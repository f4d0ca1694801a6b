/** Decisions; free of I/O, threads, clocks and random sources of their own. */
@NullMarked
package org.cowslipstair.logic;

import org.jspecify.annotations.NullMarked;
