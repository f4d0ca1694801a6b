/** Connections of callers: reading requests and writing responses. */
@NullMarked
package org.cowslipstair.edge.caller;

import org.jspecify.annotations.NullMarked;
