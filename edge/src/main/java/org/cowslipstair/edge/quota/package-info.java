/** Permits for requests of tenants that have quotas, exchanged between gateways. */
@NullMarked
package org.cowslipstair.edge.quota;

import org.jspecify.annotations.NullMarked;
