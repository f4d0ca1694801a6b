/** HTTP on both sides of a gateway: callers by Javalin, backend servers by OkHttp. */
@NullMarked
package org.cowslipstair.adapters.http;

import org.jspecify.annotations.NullMarked;
