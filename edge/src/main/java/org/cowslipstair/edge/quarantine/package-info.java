/** Exchange between gateways of what they know about requests that crash backend servers. */
@NullMarked
package org.cowslipstair.edge.quarantine;

import org.jspecify.annotations.NullMarked;
