/** Shows the promises at work in under a minute. */
@NullMarked
package org.cowslipstair.experiments.demo;

import org.jspecify.annotations.NullMarked;
