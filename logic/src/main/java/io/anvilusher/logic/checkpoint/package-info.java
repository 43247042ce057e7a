/**
 * Checkpoints of the control state in the log.
 */
@NullMarked
package io.anvilusher.logic.checkpoint;

import org.jspecify.annotations.NullMarked;
