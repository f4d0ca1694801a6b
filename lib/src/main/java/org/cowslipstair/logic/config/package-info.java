/** Merges configuration from the platform's store and from peers; versions never decrease. */
@NullMarked
package org.cowslipstair.logic.config;

import org.jspecify.annotations.NullMarked;
