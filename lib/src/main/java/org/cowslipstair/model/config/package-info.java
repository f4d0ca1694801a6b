/** Objects that operators write: zones, backend servers, services, and routing rules. */
@NullMarked
package org.cowslipstair.model.config;

import org.jspecify.annotations.NullMarked;
