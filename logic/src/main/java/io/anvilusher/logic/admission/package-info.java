/**
 * Decides which requests wait, run or are refused.
 */
@NullMarked
package io.anvilusher.logic.admission;

import org.jspecify.annotations.NullMarked;
