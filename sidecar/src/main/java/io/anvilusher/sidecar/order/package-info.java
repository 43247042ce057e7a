/**
 * Executes the orders for the engine beside this process.
 */
@NullMarked
package io.anvilusher.sidecar.order;

import org.jspecify.annotations.NullMarked;
