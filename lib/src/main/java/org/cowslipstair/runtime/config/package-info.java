/** Watches the platform's store for configuration changes and brings them into force. */
@NullMarked
package org.cowslipstair.runtime.config;

import org.jspecify.annotations.NullMarked;
