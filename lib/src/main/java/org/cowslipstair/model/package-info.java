/** Immutable data that every layer shares. */
@NullMarked
package org.cowslipstair.model;

import org.jspecify.annotations.NullMarked;
