/**
 * The deterministic fold of the log's records into the control state.
 */
@NullMarked
package io.anvilusher.logic.fold;

import org.jspecify.annotations.NullMarked;
