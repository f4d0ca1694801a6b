/** Watches the platform's store for configuration and brings it into force. */
@NullMarked
package org.cowslipstair.runtime.config;

import org.jspecify.annotations.NullMarked;
