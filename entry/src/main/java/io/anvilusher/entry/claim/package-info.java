/**
 * Calls that may run at most once.
 */
@NullMarked
package io.anvilusher.entry.claim;

import org.jspecify.annotations.NullMarked;
