/** Admission of calls: grants each call a slot of a backend server. */
@NullMarked
package org.cowslipstair.logic.admission;

import org.jspecify.annotations.NullMarked;
