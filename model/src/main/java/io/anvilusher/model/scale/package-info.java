/**
 * Changes to the number of backend servers, which are requested from the platform.
 */
@NullMarked
package io.anvilusher.model.scale;

import org.jspecify.annotations.NullMarked;
