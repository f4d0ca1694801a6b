/** Gateway processes under test, with stand-ins for callers, backend servers and the store. */
@NullMarked
package org.cowslipstair.soak.fleet;

import org.jspecify.annotations.NullMarked;
