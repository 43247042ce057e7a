/**
 * Idempotency claims, which make sure that non-repeatable requests run at most once.
 */
@NullMarked
package io.anvilusher.entry.claim;

import org.jspecify.annotations.NullMarked;
