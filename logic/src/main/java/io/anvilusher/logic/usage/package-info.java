/**
 * Decides which counts a usage window contains.
 */
@NullMarked
package io.anvilusher.logic.usage;

import org.jspecify.annotations.NullMarked;
