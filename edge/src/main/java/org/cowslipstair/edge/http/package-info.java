/** HTTP/1.1 on Netty: connections of callers and connections to servers. */
@NullMarked
package org.cowslipstair.edge.http;

import org.jspecify.annotations.NullMarked;
