/**
 * The durable facts that the platform's log holds.
 */
@NullMarked
package io.anvilusher.model.fact;

import org.jspecify.annotations.NullMarked;
