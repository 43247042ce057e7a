/**
 * Orders by which the controller changes model engines.
 */
@NullMarked
package io.anvilusher.model.order;

import org.jspecify.annotations.NullMarked;
