/**
 * Where a request runs, how long it may wait for a place, and when it is turned away.
 * Nothing here does I/O or reads a clock; times are passed in.
 */
@NullMarked
package io.anvilusher.logic.placement;

import org.jspecify.annotations.NullMarked;
