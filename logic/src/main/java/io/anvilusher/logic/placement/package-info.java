/**
 * Selects the server for a request, decides how long the request may be queued and when
 * it is rejected. The code does no I/O and reads no clock; callers pass the time in.
 */
@NullMarked
package io.anvilusher.logic.placement;

import org.jspecify.annotations.NullMarked;
