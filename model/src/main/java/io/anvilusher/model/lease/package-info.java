/**
 * Leases and their fencing tokens.
 */
@NullMarked
package io.anvilusher.model.lease;

import org.jspecify.annotations.NullMarked;
