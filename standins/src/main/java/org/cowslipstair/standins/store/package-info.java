/** Stand-in for the platform's object store. */
@NullMarked
package org.cowslipstair.standins.store;

import org.jspecify.annotations.NullMarked;
