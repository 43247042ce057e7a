/**
 * Folds the records of the control log into the control state. The fold is deterministic.
 */
@NullMarked
package io.anvilusher.logic.fold;

import org.jspecify.annotations.NullMarked;
