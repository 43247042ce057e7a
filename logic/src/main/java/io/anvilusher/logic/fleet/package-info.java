/**
 * Decides which registered backend servers may receive requests.
 */
@NullMarked
package io.anvilusher.logic.fleet;

import org.jspecify.annotations.NullMarked;
