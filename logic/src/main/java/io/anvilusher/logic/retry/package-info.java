/**
 * Decides whether a failed attempt is retried, and limits the number of retries.
 */
@NullMarked
package io.anvilusher.logic.retry;

import org.jspecify.annotations.NullMarked;
