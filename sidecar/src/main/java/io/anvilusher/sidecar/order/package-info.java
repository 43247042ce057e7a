/**
 * Executes the orders for the engine of the backend server.
 */
@NullMarked
package io.anvilusher.sidecar.order;

import org.jspecify.annotations.NullMarked;
