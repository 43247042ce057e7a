/**
 * Assigns the prefill and decode roles to model engines.
 */
@NullMarked
package io.anvilusher.logic.role;

import org.jspecify.annotations.NullMarked;
