/** Reports of experiments as text and pictures. */
@NullMarked
package org.cowslipstair.experiments.report;

import org.jspecify.annotations.NullMarked;
