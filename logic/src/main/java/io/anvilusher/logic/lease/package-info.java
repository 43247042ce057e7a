/**
 * Decides when a process claims, renews and trusts a lease.
 */
@NullMarked
package io.anvilusher.logic.lease;

import org.jspecify.annotations.NullMarked;
