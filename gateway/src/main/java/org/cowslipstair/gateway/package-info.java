/** The gateway daemon: settings, wiring of the library and its adapters, admin server. */
@NullMarked
package org.cowslipstair.gateway;

import org.jspecify.annotations.NullMarked;
