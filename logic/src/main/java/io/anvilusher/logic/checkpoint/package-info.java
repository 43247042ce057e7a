/**
 * Splits checkpoints of the control state into records of the control log and assembles
 * them again.
 */
@NullMarked
package io.anvilusher.logic.checkpoint;

import org.jspecify.annotations.NullMarked;
