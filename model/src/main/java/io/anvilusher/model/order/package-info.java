/**
 * Orders to model engines.
 */
@NullMarked
package io.anvilusher.model.order;

import org.jspecify.annotations.NullMarked;
