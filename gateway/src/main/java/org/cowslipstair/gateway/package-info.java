/** The gateway daemon: settings, assembly of the library with its adapters, admin port. */
@NullMarked
package org.cowslipstair.gateway;

import org.jspecify.annotations.NullMarked;
