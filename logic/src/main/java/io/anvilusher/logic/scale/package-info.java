/**
 * Plans changes to the number of backend servers of a fleet.
 */
@NullMarked
package io.anvilusher.logic.scale;

import org.jspecify.annotations.NullMarked;
