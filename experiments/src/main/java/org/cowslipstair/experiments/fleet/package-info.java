/** A fleet of gateways with stand-ins for the platform and for backend servers, in one process. */
@NullMarked
package org.cowslipstair.experiments.fleet;

import org.jspecify.annotations.NullMarked;
