/** Recognizes requests that crash the backend servers that run them, and holds them back. */
@NullMarked
package org.cowslipstair.logic.quarantine;

import org.jspecify.annotations.NullMarked;
