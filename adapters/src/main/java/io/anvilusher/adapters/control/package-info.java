/**
 * Follows the platform's log and appends to it.
 */
@NullMarked
package io.anvilusher.adapters.control;

import org.jspecify.annotations.NullMarked;
