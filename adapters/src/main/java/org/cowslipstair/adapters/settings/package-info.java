/** Reads settings and configuration objects from TOML files. */
@NullMarked
package org.cowslipstair.adapters.settings;

import org.jspecify.annotations.NullMarked;
