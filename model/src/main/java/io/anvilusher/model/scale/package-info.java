/**
 * Orders for backend servers, placed with the platform.
 */
@NullMarked
package io.anvilusher.model.scale;

import org.jspecify.annotations.NullMarked;
