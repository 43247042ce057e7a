/**
 * Decides in which order queued requests run.
 */
@NullMarked
package io.anvilusher.logic.admission;

import org.jspecify.annotations.NullMarked;
