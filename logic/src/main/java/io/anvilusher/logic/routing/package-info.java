/**
 * Finds the route of a request and selects the backend server for an attempt.
 */
@NullMarked
package io.anvilusher.logic.routing;

import org.jspecify.annotations.NullMarked;
