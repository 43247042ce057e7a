/**
 * Decides when a process claims, renews and releases a lease, and how long it may rely on
 * it.
 */
@NullMarked
package io.anvilusher.logic.lease;

import org.jspecify.annotations.NullMarked;
