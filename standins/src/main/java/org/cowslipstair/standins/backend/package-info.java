/** Stand-in for backend servers. */
@NullMarked
package org.cowslipstair.standins.backend;

import org.jspecify.annotations.NullMarked;
