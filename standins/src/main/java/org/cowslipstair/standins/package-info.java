/** Stand-ins for the platform and for backend servers, for tests and trials on one machine. */
@NullMarked
package org.cowslipstair.standins;

import org.jspecify.annotations.NullMarked;
