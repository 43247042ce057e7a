/**
 * Appends records to the control log, reads them back and folds them into the control
 * state.
 */
@NullMarked
package io.anvilusher.adapters.control;

import org.jspecify.annotations.NullMarked;
