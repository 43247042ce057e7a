/**
 * Decides how many backend servers a fleet has.
 */
@NullMarked
package io.anvilusher.logic.scale;

import org.jspecify.annotations.NullMarked;
