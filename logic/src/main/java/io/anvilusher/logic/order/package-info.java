/**
 * Plans the orders that change model engines, and decides what a sidecar does about the
 * orders for its engine.
 */
@NullMarked
package io.anvilusher.logic.order;

import org.jspecify.annotations.NullMarked;
