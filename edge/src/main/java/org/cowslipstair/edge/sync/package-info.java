/** Follows the collections of the platform's store and detects its outages. */
@NullMarked
package org.cowslipstair.edge.sync;

import org.jspecify.annotations.NullMarked;
