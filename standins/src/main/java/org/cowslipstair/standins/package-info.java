/** Stand-ins for the platform and for backend servers, for tests and local trials. */
@NullMarked
package org.cowslipstair.standins;

import org.jspecify.annotations.NullMarked;
