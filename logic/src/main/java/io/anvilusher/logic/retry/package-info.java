/**
 * Decides whether an attempt that failed is followed by another.
 */
@NullMarked
package io.anvilusher.logic.retry;

import org.jspecify.annotations.NullMarked;
