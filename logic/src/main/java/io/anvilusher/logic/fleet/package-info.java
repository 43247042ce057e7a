/**
 * Which registered servers take requests.
 */
@NullMarked
package io.anvilusher.logic.fleet;

import org.jspecify.annotations.NullMarked;
