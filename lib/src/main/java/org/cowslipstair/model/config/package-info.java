/** Configuration objects written by operators: zones, backend servers, services, routing rules. */
@NullMarked
package org.cowslipstair.model.config;

import org.jspecify.annotations.NullMarked;
