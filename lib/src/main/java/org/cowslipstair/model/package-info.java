/** Immutable data types used by all layers. */
@NullMarked
package org.cowslipstair.model;

import org.jspecify.annotations.NullMarked;
